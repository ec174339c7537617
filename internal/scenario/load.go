package scenario

import (
	"embed"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"

	"indigousher/internal/config"
)

// extension is the file name extension of scenario files.
const extension = ".hcl"

//go:embed days/*.hcl
var embedded embed.FS

// embeddedDir is the directory of the embedded scenario files.
const embeddedDir = "days"

// Names returns the names of the embedded scenarios.
func Names() []string {
	files, err := fs.Glob(embedded, path.Join(embeddedDir, "*"+extension))
	if err != nil {
		return nil
	}
	var names []string
	for _, file := range files {
		names = append(names, strings.TrimSuffix(path.Base(file), extension))
	}
	return names
}

// Load reads a scenario. name is the name of an embedded scenario or the path of a file; embedded scenarios take
// precedence.
func Load(name string) (*Scenario, error) {
	if slices.Contains(Names(), name) {
		file := path.Join(embeddedDir, name+extension)
		text, err := embedded.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read embedded scenario %q: %w", name, err)
		}
		return Read(file, text)
	}
	text, err := config.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%q is neither an embedded scenario (%s) nor a readable file: %w", name,
			strings.Join(Names(), ", "), err)
	}
	return Read(name, text)
}
