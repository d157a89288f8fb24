package exampler

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/dragonflyford/dragonflyford/benchmarker"
	"github.com/dragonflyford/dragonflyford/emulator"
)

// nodesPerRegion gives six entry hosts in three regions.
const nodesPerRegion = 2

// File is one file of an example.
type File struct {
	name    string
	content []byte
}

// Name returns the name of the file, without a directory.
func (f File) Name() string { return f.name }

// Content returns the bytes of the file; they must not be changed.
func (f File) Content() []byte { return f.content }

// Files returns the files of a deployment in a fixed order.
func Files(deployment string) ([]File, error) {
	d, err := emulator.NewDeployment(deployment)
	if err != nil {
		return nil, fmt.Errorf("build deployment: %w", err)
	}
	defer d.Close()
	e := &example{deployment: d, ports: portsOf(deployment)}
	e.addFakes()
	for _, n := range e.nodes() {
		e.add(n.name+".json", encode, e.nodeSettings(n))
	}
	for _, operator := range []string{author, reviewer} {
		e.add(operator+".json", encode, e.operatorDocument(operator))
		e.addKey(operator)
	}
	e.files = append(e.files, File{operatorKeyFile, []byte(operatorKey(deployment) + "\n")})
	e.add("bundle.json", encodeLines, d.Bundle(bundleVersion, e.endpointAddress))
	e.add("load.json", encode, e.workload())
	if err := errors.Join(e.errs...); err != nil {
		return nil, err
	}
	return e.files, nil
}

// bundleVersion is the version that the operators give the bundle.
const bundleVersion = "1"

// Write writes the files of a deployment into a directory, which it creates if
// necessary.
func Write(deployment, dir string) error {
	files, err := Files(deployment)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(dir, f.name), f.content, 0o644); err != nil {
			return fmt.Errorf("write example: %w", err)
		}
	}
	return nil
}

// example collects the files of one deployment.
type example struct {
	deployment *emulator.Deployment
	ports      ports
	files      []File
	errs       []error
}

func (e *example) add(name string, encode func(any) ([]byte, error), doc any) {
	content, err := encode(doc)
	if err != nil {
		e.errs = append(e.errs, fmt.Errorf("%s: %w", name, err))
		return
	}
	e.files = append(e.files, File{name, content})
}

func (e *example) addKey(operator string) {
	content, err := keyFile(signingKey(e.deployment.Name(), operator))
	if err != nil {
		e.errs = append(e.errs, err)
		return
	}
	e.files = append(e.files, File{operator + ".key", content})
}

func (e *example) addFakes() {
	e.add("emulate.json", encode, e.deployment.Settings(
		e.ports.address(controlPort), e.ports.address(platformPort), e.endpointAddress))
}

func (e *example) endpointAddress(name string) string {
	for i, endpoint := range e.deployment.Endpoints() {
		if endpoint.Name() == name {
			return e.ports.address(endpointPort + i)
		}
	}
	return ""
}

// node is a node with its index in the block of ports.
type node struct {
	name   string
	region string
	index  int
}

func (e *example) nodes() []node {
	var nodes []node
	for _, region := range e.deployment.Regions() {
		for i := range nodesPerRegion {
			nodes = append(nodes, node{fmt.Sprintf("%s-entry-%d", region, i+1), region, len(nodes)})
		}
	}
	return nodes
}

// workload is a light load: mostly generations, with popular adapters requested
// far more often than others.
func (e *example) workload() *benchmarker.Document {
	doc := &benchmarker.Document{
		Seed:      1,
		DurationS: 120,
		Rate:      20,
		Mix:       benchmarker.MixDocument{Generation: 0.7, Posting: 0.15, Lookup: 0.15},
		Adapters: benchmarker.AdaptersDocument{
			Format: "bank-%05d", Count: 3000, Skew: 2, Versions: []string{"v1"},
		},
		PromptBytes: 200,
		MaxTokens:   16,
		TimeoutMS:   30_000,
		Service:     e.deployment.ServiceName(),
		PostingPath: "/postings",
		LookupPath:  "/balances/%d",
		Callers:     12,
	}
	if e.deployment.Name() == emulator.Tender {
		doc.Adapters.Format = "grower-%05d"
		doc.PostingPath, doc.LookupPath = "/orders", "/stock/%d"
	}
	for _, n := range e.nodes() {
		doc.Entries = append(doc.Entries, e.ports.address(callerPort+n.index))
	}
	return doc
}
