package client

// growthFactor is the memory that a byte takes of a response whose length is not known: buffers that grow
// have room for more.
const growthFactor = 2

// heldResponse returns how many bytes of a response with the given length, -1 if it is not known, may be
// held back. It is less than maxHeldResponse if clients hold the memory of this process: the rest is
// then sent as it arrives.
func (f *forwarding) heldResponse(length int64) int64 {
	most, factor := int64(maxHeldResponse), int64(growthFactor)
	if length >= 0 && length <= most {
		most, factor = length, 1
	}
	for ; most > 0; most /= 2 {
		if f.connection.Reserve(factor * most) {
			return most
		}
	}
	return 0
}
