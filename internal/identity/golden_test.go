package identity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rillflow/internal/goldentest"
	"rillflow/internal/keyring"
)

// Guards against changes to the stored form of identities and tokens.
func TestGoldenStored(t *testing.T) {
	goldentest.Check(t, "stored.txt", strings.Join([]string{
		IdentityPrefix + "ana\t" + goldentest.JSON(t, goldentest.Filled[Record]()),
		IdentityPrefix + "ana\t" + goldentest.JSON(t, Record{Kind: "person"}),
		TokenPrefix + "abc\t" + goldentest.JSON(t, goldentest.Filled[Token]()),
		TokenPrefix + "abc\t" + goldentest.JSON(t, Token{Identity: "ana", Hash: []byte{1}}),
		Prefix,
	}, "\n")+"\n")
}

// Guards against changes that invalidate tokens issued earlier: the stored hash must still match.
func TestGoldenToken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(path, []byte("3 "+strings.Repeat("5a", keyring.Size)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ring, err := keyring.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	data := goldentest.Read(t, "token.txt", func() []byte {
		token, _, stored, err := NewToken(ring, "ana", time.Unix(1_764_600_000, 0), time.Unix(1_764_700_000, 0))
		if err != nil {
			t.Fatal(err)
		}
		return []byte(token + "\n" + goldentest.JSON(t, stored) + "\n")
	})
	lines := strings.Split(string(data), "\n")
	id, secret, ok := parse(lines[0])
	if !ok {
		t.Fatalf("cannot parse token %q", lines[0])
	}
	hash, err := ring.Seal(3, keyring.ForTokens, []byte(id), []byte{0}, []byte(secret))
	if err != nil {
		t.Fatal(err)
	}
	want := Token{Identity: "ana", Key: 3, Hash: hash[:], IssuedUnix: 1_764_600_000, ExpiresUnix: 1_764_700_000}
	if got := goldentest.JSON(t, want); got != lines[1] {
		t.Errorf("got stored token %s, want %s", got, lines[1])
	}
}
