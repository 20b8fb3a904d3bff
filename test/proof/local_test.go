package proof

import (
	"bytes"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLocalIsReadyWithinTwoSeconds checks the command that a new user runs first:
// "bramleydeal local" must be ready within 2 s, serve a chat completion and drain on
// Ctrl-C.
func TestLocalIsReadyWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	address := freeAddress(t).String()
	command := exec.Command(filepath.Join(programFolder, "bramleydeal"), "local", "-listen", address)
	log := &logBuffer{}
	command.Stderr = log
	start := time.Now()
	is.NoErr(command.Start())
	defer command.Process.Kill()
	ready := func() bool {
		response, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	eventually(t, 2*time.Second, "bramleydeal local is ready (/readyz returns 200)", ready)
	t.Logf("ready after %v", time.Since(start))
	body := `{"model":"quotes-1","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer demo-key")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(strings.Contains(string(text), `"role":"assistant"`))
	is.True(strings.Contains(strings.Join(log.lines(), "\n"), "local: ready"))
	is.NoErr(command.Process.Signal(syscall.SIGINT)) // what Ctrl-C sends; the process must drain and exit with 0
	if err := command.Wait(); err != nil {
		t.Fatalf("bramleydeal local ended with %v after %v:\n%s", err, time.Since(start), strings.Join(log.lines(), "\n"))
	}
}
