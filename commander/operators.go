package commander

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// OperatorAddress is the address where a node serves operators.
type OperatorAddress struct {
	node    string
	address string
}

// NewOperatorAddress returns the operator address of a node: http or https, host and
// port.
func NewOperatorAddress(node, address string) OperatorAddress {
	return OperatorAddress{node: node, address: address}
}

// Node returns the node's name.
func (o OperatorAddress) Node() string { return o.node }

// URL returns the base URL.
func (o OperatorAddress) URL() string { return o.address }

// Directory finds the operator addresses of the nodes, for example in their lease
// rows.
type Directory interface {
	OperatorAddresses(ctx context.Context) ([]OperatorAddress, error)
}

// Errors of commands that ask nodes.
var (
	// ErrMissingAnswers reports nodes that gave no answer.
	ErrMissingAnswers = eris.New("not all nodes have answered")
	// errNoRecord is the answer of a node that knows nothing of what was asked.
	errNoRecord = eris.New("nothing is recorded here")
)

const (
	askTimeout    = 5 * time.Second
	askers        = 16      // nodes that are asked at a time
	maxNodeAnswer = 8 << 20 // bytes; an owner of 100 engines with 100 adapters each stays far below
	maxDetail     = 4 << 10 // bytes of an error's body
)

// operators asks the operator addresses of nodes. The key goes to these addresses
// only: redirects are not followed.
type operators struct {
	list   []OperatorAddress
	key    string
	client *http.Client
}

// operators returns the nodes of the settings, or else those of the platform.
func (s *session) operators() (*operators, error) {
	settings, platform, err := s.open()
	if err != nil {
		return nil, err
	}
	list := settings.nodes
	if len(list) == 0 && platform.directory != nil {
		if list, err = platform.directory.OperatorAddresses(s.ctx); err != nil {
			return nil, fmt.Errorf("find nodes: %w", err)
		}
	}
	if len(list) == 0 {
		return nil, &SettingError{setting: "nodes", allowed: "the operator address of each node, by name"}
	}
	key, err := settings.operatorKey()
	if err != nil {
		return nil, err
	}
	roots, err := settings.operatorRoots()
	if err != nil {
		return nil, err
	}
	return &operators{list: slices.SortedFunc(slices.Values(list), compareOperators), key: key, client: &http.Client{
		Timeout:       askTimeout,
		Transport:     &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

func compareOperators(a, b OperatorAddress) int { return cmp.Compare(a.node, b.node) }

// answer is what one node has answered.
type answer[T any] struct {
	node OperatorAddress
	doc  T
	err  error
}

// askAll sends one request to every node, and returns the answers by node.
func askAll[T any](ctx context.Context, o *operators, path string) []answer[T] {
	defer o.client.CloseIdleConnections()
	answers := make([]answer[T], len(o.list))
	places := make(chan struct{}, askers)
	var asked sync.WaitGroup
	for i, node := range o.list {
		asked.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			doc, err := ask[T](ctx, o, node, path)
			answers[i] = answer[T]{node: node, doc: doc, err: err}
		})
	}
	asked.Wait()
	return answers
}

func ask[T any](ctx context.Context, o *operators, node OperatorAddress, path string) (T, error) {
	var doc T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, node.address+path, nil)
	if err != nil {
		return doc, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+o.key)
	resp, err := o.client.Do(req)
	if err != nil {
		return doc, fmt.Errorf("ask node: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return doc, refusal(resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxNodeAnswer)).Decode(&doc); err != nil {
		return doc, fmt.Errorf("decode answer: %w", err)
	}
	return doc, nil
}

// refusal returns the error that a node's answer reports.
func refusal(resp *http.Response) error {
	if resp.StatusCode == http.StatusNotFound {
		return errNoRecord
	}
	var problem struct {
		Detail string `json:"detail"`
	}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxDetail)).Decode(&problem)
	if err != nil || problem.Detail == "" {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return fmt.Errorf("status %d: %q", resp.StatusCode, problem.Detail)
}

// operatorKey reads the key that nodes know the operator by.
func (s *Settings) operatorKey() (string, error) {
	data, err := os.ReadFile(s.operatorKeyFile)
	if err != nil {
		return "", &SettingError{setting: "operator_key_file", value: s.operatorKeyFile, allowed: "a readable file: " + err.Error()}
	}
	key := strings.TrimSpace(string(data))
	if key == "" || strings.ContainsAny(key, " \t\r\n") {
		return "", &SettingError{setting: "operator_key_file", value: s.operatorKeyFile, allowed: "a file with one key on one line"}
	}
	return key, nil
}

// operatorRoots returns who may sign the certificates of nodes; nil stands for
// the roots of the host.
func (s *Settings) operatorRoots() (*x509.CertPool, error) {
	if s.operatorCAFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(s.operatorCAFile)
	if err != nil {
		return nil, &SettingError{setting: "operator_ca_file", value: s.operatorCAFile, allowed: "a readable file: " + err.Error()}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, &SettingError{setting: "operator_ca_file", value: s.operatorCAFile, allowed: "a PEM file with certificates"}
	}
	return roots, nil
}

// validOperatorURL reports whether an address is a scheme, a host and a port.
func validOperatorURL(address string) bool {
	u, err := url.Parse(address)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Port() != "" &&
		u.User == nil && u.Path == "" && u.RawQuery == "" && u.Fragment == ""
}
