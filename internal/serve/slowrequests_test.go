package serve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rillflow/internal/settings"
)

// slowClients is more connections than the smallest deployment has sockets.
const slowClients = 1000

// startController runs a controller with the sockets of the smallest deployment, without the platform's
// services. Requests have two seconds to be received.
func startController(t *testing.T) *settings.Settings {
	t.Helper()
	operator, err := settings.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	config := &settings.Settings{
		Name: "n", FrontAddress: freeAddress(t), PeerAddress: freeAddress(t), Operator: operator,
		Services: settings.Services{Store: freeAddress(t), Cloud: freeAddress(t)},
		Facts: settings.Facts{
			Workers:   settings.WorkerTimings{HeartbeatSeconds: 1, LeaseSeconds: 10, CancelSeconds: 20},
			Store:     settings.StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 16, TxnOps: 16},
			Cloud:     settings.CloudLimits{RPS: 5, ListLagSeconds: 2},
			Resources: settings.ProcessLimits{MemoryMB: 1024, Sockets: 900},
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = Run(ctx, config, TCP(time.Second), slog.New(slog.DiscardHandler))
	}()
	t.Cleanup(func() { cancel(); <-ended })
	for deadline := time.Now().Add(5 * time.Second); probe(config) != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the controller does not answer")
		}
	}
	return config
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// probe sends a health check as the load balancer does, on a connection of its own.
func probe(config *settings.Settings) error {
	return exchange(config, "GET /healthz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n", time.Second)
}

// exchange sends a request on a connection of its own, in full or, with pauses, in parts, and returns an error
// unless an HTTP response arrives in time.
func exchange(config *settings.Settings, request string, timeout time.Duration, pauses ...time.Duration) error {
	connection, err := net.DialTimeout("tcp", config.FrontAddress, timeout)
	if err != nil {
		return err
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(timeout))
	part := len(request)/(len(pauses)+1) + 1
	for start := 0; start < len(request); start += part {
		if start > 0 {
			time.Sleep(pauses[start/part-1])
		}
		if _, err := io.WriteString(connection, request[start:min(start+part, len(request))]); err != nil {
			return err
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// post returns a POST request.
func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", path, len(body), body)
}

// trickle opens connections that send the beginning of a request and then a byte now and then. It
// returns a function that reports how many are still open.
func trickle(t *testing.T, address, beginning string) (countOpen func() int) {
	t.Helper()
	var connections []net.Conn
	for range slowClients {
		connection, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue // refused: there is no room
		}
		connections = append(connections, connection)
		_, _ = io.WriteString(connection, beginning)
	}
	ctx, cancel := context.WithCancel(t.Context())
	if beginning != "" {
		go func() {
			for ctx.Err() == nil {
				time.Sleep(300 * time.Millisecond)
				for _, connection := range connections {
					_, _ = io.WriteString(connection, "1")
				}
			}
		}()
	}
	t.Cleanup(func() {
		cancel()
		for _, connection := range connections {
			connection.Close()
		}
	})
	return func() (open int) {
		for _, connection := range connections {
			connection.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := connection.Read(make([]byte, 1<<10))
			if timeout, ok := err.(net.Error); err == nil || ok && timeout.Timeout() {
				open++
			}
		}
		return open
	}
}

// Guards against a controller that slow clients keep from answering health checks and workers, and from
// serving its peers.
func TestSlowRequestsDoNotBlockOthers(t *testing.T) {
	const beginning = "Host: n\r\nContent-Length: 5000\r\n"
	heartbeat := post("/agent/beat", `{"host":"i-1","address":"10.0.0.1:9000","flavor":"m","tenure":1,"tick":1,"epoch":0,"members":[]}`)
	for _, tc := range []struct {
		name      string
		beginning string
		toPeers   bool
	}{
		{"body of a submission", "POST /v1/jobs HTTP/1.1\r\n" + beginning + "\r\n{", false},
		{"body of a heartbeat", "POST /agent/beat HTTP/1.1\r\n" + beginning + "\r\n{", false},
		{"header", "POST /v1/jobs HTTP/1.1\r\nHost: n\r\nX-A: ", false},
		{"silent", "", false},
		{"silent on the link between controllers", "", true},
		{"frame of a peer", "\x01\x01\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\xff\x00", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config := startController(t)
			address := config.FrontAddress
			if tc.toPeers {
				address = config.PeerAddress
			}
			countOpen := trickle(t, address, tc.beginning)
			for range 8 {
				if err := probe(config); err != nil {
					t.Errorf("health check: %v", err)
				}
				if err := exchange(config, heartbeat, 4*time.Second); err != nil {
					t.Errorf("heartbeat: %v", err)
				}
				time.Sleep(500 * time.Millisecond)
			}
			if open := countOpen(); open > 0 {
				t.Errorf("%d connections are still open after twice the time to receive a request, want 0", open)
			}
		})
	}
}

// Guards against a time limit that ends a sound request on a slow link.
func TestSoundRequestOnSlowLinkIsAnswered(t *testing.T) {
	config := startController(t)
	submission := post("/v1/jobs", `{"ref":"req-000001"`+strings.Repeat(" ", 30<<10)+`}`)
	pause := 400 * time.Millisecond
	if err := exchange(config, submission, 5*time.Second, pause, pause, pause, pause); err != nil {
		t.Errorf("got %v, want an answer", err)
	}
}
