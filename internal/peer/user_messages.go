package peer

import "rillflow/internal/codec"

// UserRequest is a user's request, forwarded by a controller that the store refuses while
// it serves a peer.
type UserRequest struct {
	Method, Path string
	Body         []byte
	// Auth is the request's Authorization header, if it has one. Such a request is sent as
	// kindUserWithToken, which versions without support for tokens refuse.
	Auth string
}

// UserAnswer is the answer to a UserRequest.
type UserAnswer struct {
	Status     int
	RetryAfter string
	Body       []byte
}

func (request *UserRequest) encode() []byte {
	var encoder codec.Encoder
	encoder.Str(request.Method)
	encoder.Str(request.Path)
	encoder.Bytes(request.Body)
	return encoder.B
}

// encodeWithToken encodes a request with its Authorization header.
func (request *UserRequest) encodeWithToken() []byte {
	var encoder codec.Encoder
	encoder.Str(request.Auth)
	encoder.Str(request.Method)
	encoder.Str(request.Path)
	encoder.Bytes(request.Body)
	return encoder.B
}

func decodeUserRequestWithToken(b []byte) (request UserRequest, err error) {
	decoder := codec.Decoder{B: b}
	request = UserRequest{Auth: decoder.Str(), Method: decoder.Str(), Path: decoder.Str(), Body: decoder.Bytes()}
	return request, decoder.Done()
}

func decodeUserRequest(b []byte) (request UserRequest, err error) {
	decoder := codec.Decoder{B: b}
	request = UserRequest{Method: decoder.Str(), Path: decoder.Str(), Body: decoder.Bytes()}
	return request, decoder.Done()
}

func (answer *UserAnswer) encode() []byte {
	var encoder codec.Encoder
	encoder.Int(int64(answer.Status))
	encoder.Str(answer.RetryAfter)
	encoder.Bytes(answer.Body)
	return encoder.B
}

func decodeUserAnswer(b []byte) (answer UserAnswer, err error) {
	decoder := codec.Decoder{B: b}
	answer = UserAnswer{Status: int(decoder.Int()), RetryAfter: decoder.Str(), Body: decoder.Bytes()}
	return answer, decoder.Done()
}

// Counts holds how many tasks of a live job are done and how many are running.
type Counts struct {
	Known         bool // false if the leader has no such live job
	Done, Running int
}

func (counts *Counts) encode() []byte {
	var encoder codec.Encoder
	encoder.Bool(counts.Known)
	encoder.Int(int64(counts.Done))
	encoder.Int(int64(counts.Running))
	return encoder.B
}

func decodeCounts(b []byte) (counts Counts, err error) {
	decoder := codec.Decoder{B: b}
	counts = Counts{Known: decoder.Bool(), Done: int(decoder.Int()), Running: int(decoder.Int())}
	return counts, decoder.Done()
}
