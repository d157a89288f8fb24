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

	"github.com/dragonflyford/dragonflyford/transporter"
)

// OperatorAddress is the URL of a node's operator listener.
type OperatorAddress struct {
	node    string
	address string
}

// NewOperatorAddress returns the operator address of a node. The address is a URL
// with scheme http or https, host and port.
func NewOperatorAddress(node, address string) OperatorAddress {
	return OperatorAddress{node: node, address: address}
}

// Node returns the node's name.
func (o OperatorAddress) Node() string { return o.node }

// URL returns the base URL of the operator listener.
func (o OperatorAddress) URL() string { return o.address }

// Directory looks up the operator addresses of the nodes, for example in their
// lease rows.
type Directory interface {
	OperatorAddresses(ctx context.Context) ([]OperatorAddress, error)
}

// Errors of commands that query nodes.
var (
	// ErrMissingAnswers reports that at least one node returned no valid
	// response.
	ErrMissingAnswers = eris.New("not all nodes have answered")
	// errNoRecord reports the response 404 Not Found: the node has no record of the
	// requested item.
	errNoRecord = eris.New("the node has no such record")
)

const (
	queryTimeout         = 5 * time.Second
	maxConcurrentQueries = 16      // nodes
	maxResponseBytes     = 8 << 20 // a node that owns 100 engines with 100 adapters each needs far less
	maxErrorBytes        = 4 << 10 // of an error response
)

// nodeClient queries the operator listeners of nodes. It does not follow
// redirects, so that the operator key is sent to these addresses only.
type nodeClient struct {
	list   []OperatorAddress
	key    string
	client *http.Client
}

// nodeClient returns a client for the nodes that the settings list, or if there
// are none, for those in the platform's directory.
func (s *session) nodeClient() (*nodeClient, error) {
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
	return &nodeClient{list: slices.SortedFunc(slices.Values(list), compareOperators), key: key, client: &http.Client{
		Timeout:       queryTimeout,
		Transport:     &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

func compareOperators(a, b OperatorAddress) int { return cmp.Compare(a.node, b.node) }

// nodeResponse is the response of one node, or the error of the query.
type nodeResponse[T any] struct {
	node OperatorAddress
	doc  T
	err  error
}

// queryAll sends one request to every node and returns the responses in the order
// of the node list.
func queryAll[T any](ctx context.Context, o *nodeClient, path string) []nodeResponse[T] {
	defer o.client.CloseIdleConnections()
	responses := make([]nodeResponse[T], len(o.list))
	slots := make(chan struct{}, maxConcurrentQueries)
	var queries sync.WaitGroup
	for i, node := range o.list {
		queries.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			doc, err := query[T](ctx, o, node, path)
			responses[i] = nodeResponse[T]{node: node, doc: doc, err: err}
		})
	}
	queries.Wait()
	return responses
}

func query[T any](ctx context.Context, o *nodeClient, node OperatorAddress, path string) (T, error) {
	var doc T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, node.address+path, nil)
	if err != nil {
		return doc, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+o.key)
	resp, err := o.client.Do(req)
	if err != nil {
		return doc, fmt.Errorf("query node: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := transporter.CheckHead(resp.StatusCode, resp.Header); err != nil {
		return doc, fmt.Errorf("query node: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return doc, responseError(resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&doc); err != nil {
		return doc, fmt.Errorf("decode response: %w", err)
	}
	return doc, nil
}

// responseError returns an error for a response whose status is not 200.
func responseError(resp *http.Response) error {
	if resp.StatusCode == http.StatusNotFound {
		return errNoRecord
	}
	var problem struct {
		Detail string `json:"detail"`
	}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&problem)
	if err != nil || problem.Detail == "" {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return fmt.Errorf("status %d: %q", resp.StatusCode, problem.Detail)
}

// operatorKey reads the key that authenticates the operator to nodes.
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

// operatorRoots returns the root certificates that node certificates are verified
// with. It returns nil, which selects the system roots, if no file is set.
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

// validOperatorURL reports whether an address consists of a scheme http or https,
// a host and a port.
func validOperatorURL(address string) bool {
	u, err := url.Parse(address)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Port() != "" &&
		u.User == nil && u.Path == "" && u.RawQuery == "" && u.Fragment == ""
}
