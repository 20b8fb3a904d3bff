package client

// BodySegment is the size in bytes of the pieces in which bodies are held.
const BodySegment = 64 << 10

// BodyBytes returns the size in bytes of a body that is held in pieces.
func BodyBytes(body [][]byte) int {
	n := 0
	for _, piece := range body {
		n += len(piece)
	}
	return n
}
