// Command protogen compiles .proto files and runs the two Go generators, protoc-gen-go and protoc-gen-go-grpc, at the
// versions pinned in go.mod, so that the generated code is reproducible and no installed protoc is needed. It is run by
// go generate.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/pluginpb"
)

// plugins lists the import paths of the generators, which are run as protoc plugins.
var plugins = []string{
	"google.golang.org/protobuf/cmd/protoc-gen-go",
	"google.golang.org/grpc/cmd/protoc-gen-go-grpc",
}

// generatedMode is the file mode of generated files. They are readable for all, as they are checked in.
const generatedMode = 0o644

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: protogen ROOT FILE...")
		os.Exit(2)
	}
	if err := run(context.Background(), os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run compiles .proto files, whose paths are relative to root, and writes the generated code next to them.
func run(ctx context.Context, root string, files []string) error {
	request, err := compile(ctx, root, files)
	if err != nil {
		return err
	}
	for _, plugin := range plugins {
		if err := generate(ctx, plugin, request, root); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
	}
	return nil
}

// compile compiles .proto files and returns the encoded CodeGeneratorRequest that plugins read from standard input.
func compile(ctx context.Context, root string, files []string) ([]byte, error) {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{root}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(ctx, files...)
	if err != nil {
		return nil, fmt.Errorf("compile proto files: %w", err)
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: files, Parameter: proto.String("paths=source_relative")}
	for _, file := range compiled {
		request.ProtoFile = append(request.ProtoFile, protodesc.ToFileDescriptorProto(file))
	}
	encoded, err := proto.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode generator request: %w", err)
	}
	return encoded, nil
}

// generate runs one generator with an encoded request and writes the files of its response into root.
func generate(ctx context.Context, plugin string, request []byte, root string) error {
	cmd := exec.CommandContext(ctx, "go", "run", plugin)
	cmd.Stdin = bytes.NewReader(request)
	cmd.Stderr = os.Stderr
	output, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("run generator: %w", err)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return fmt.Errorf("decode generator response: %w", err)
	}
	if response.Error != nil {
		return errors.New(response.GetError())
	}
	for _, file := range response.File {
		if err := os.WriteFile(filepath.Join(root, file.GetName()), []byte(file.GetContent()), generatedMode); err != nil {
			return fmt.Errorf("write generated file: %w", err)
		}
	}
	return nil
}
