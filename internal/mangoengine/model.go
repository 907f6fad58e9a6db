package mangoengine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Model identifies the deterministic function that takes the place of a neural network.
type Model struct {
	Name     string
	Version  string
	Adapters []string
	// EndProbability is the share of hidden values after which the model ends.
	EndProbability float64
}

// seed tells models, versions and sets of adapters apart.
func (m Model) seed() uint64 {
	return xxhash.Sum64String(m.Name + "\x00" + m.Version + "\x00" + strings.Join(m.Adapters, "\x00"))
}

// mix combines values so that the order and each bit matter; each round is the finalizer of splitmix64.
func mix(values ...uint64) uint64 {
	h := uint64(0x9e3779b97f4a7c15)
	for _, v := range values {
		h += v + 0x9e3779b97f4a7c15
		h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
	}
	return h
}

// stage is the state of a range of layers for one call.
type stage struct {
	Seed   uint64
	From   uint32
	States []uint64
}

func newStage(m Model, from, to uint32) *stage {
	return &stage{Seed: m.seed(), From: from, States: make([]uint64, to-from)}
}

// run passes the positions through all layers in order and returns the hidden values after the last one.
func (s *stage) run(inputs []uint64) []uint64 {
	outputs := make([]uint64, 0, len(inputs))
	for _, hidden := range inputs {
		for i := range s.States {
			s.States[i] = mix(s.States[i], hidden, uint64(s.From)+uint64(i), s.Seed)
			hidden = mix(s.States[i])
		}
		outputs = append(outputs, hidden)
	}
	return outputs
}

// SplitPrompt splits a prompt into the words that take one position each; an empty prompt is one empty word.
func SplitPrompt(prompt string) []string {
	words := strings.Fields(prompt)
	if len(words) == 0 {
		return []string{""}
	}
	return words
}

// embedPrompt returns the input of the first layer for the words of a prompt.
func embedPrompt(prompt string) []uint64 {
	var inputs []uint64
	for _, w := range SplitPrompt(prompt) {
		inputs = append(inputs, mix(0, xxhash.Sum64String(w)))
	}
	return inputs
}

// embedTokens returns the input of the first layer for token numbers.
func embedTokens(tokens []uint32) []uint64 {
	var inputs []uint64
	for _, t := range tokens {
		inputs = append(inputs, mix(1, uint64(t)))
	}
	return inputs
}

// sample turns the hidden value of the last position into a token number, its text and the end flag.
func (m Model) sample(hidden uint64) (token uint32, text string, end bool) {
	const vocabulary = 1 << 15
	vocabularyWords := [...]string{
		"a", "calm", "young", "dog", "cat", "with", "soft", "fur", "likes", "long", "walks", "and", "children",
		"garden", "the", "home", "quiet", "looks", "for", "skip", "street", "booked", "on", "Monday", "before",
		"noon", "please", "call", "us", "green", "waste", "thanks",
	}
	token = uint32(hidden % vocabulary)
	end = float64(mix(2, hidden)>>11)/(1<<53) < m.EndProbability
	return token, " " + vocabularyWords[token%uint32(len(vocabularyWords))], end
}

func encodeHidden(values []uint64) []byte {
	data := make([]byte, 0, 8*len(values))
	for _, v := range values {
		data = binary.BigEndian.AppendUint64(data, v)
	}
	return data
}

// decodeHidden returns nil when the length is not a multiple of 8 bytes.
func decodeHidden(data []byte) []uint64 {
	if len(data)%8 != 0 {
		return nil
	}
	var values []uint64
	for ; len(data) > 0; data = data[8:] {
		values = append(values, binary.BigEndian.Uint64(data))
	}
	return values
}
