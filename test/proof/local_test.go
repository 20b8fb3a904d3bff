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

// TestLocalIsReadyWithinTwoSeconds runs the newcomer's command.
func TestLocalIsReadyWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	address := freeAddress(t).String()
	c := exec.Command(filepath.Join(programs, "bramleydeal"), "local", "-listen", address)
	log := &logBuffer{}
	c.Stderr = log
	begun := time.Now()
	is.NoErr(c.Start())
	defer c.Process.Kill()
	ready := func() bool {
		response, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	eventually(t, 2*time.Second, "ready", ready)
	t.Logf("ready after %v", time.Since(begun))
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
	is.NoErr(c.Process.Signal(syscall.SIGINT)) // ctrl-C drains
	if err := c.Wait(); err != nil {
		t.Fatalf("%v, after %v:\n%s", err, time.Since(begun), strings.Join(log.lines(), "\n"))
	}
}
