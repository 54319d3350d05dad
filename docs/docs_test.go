package docs_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/chestnutsail/chestnutsail/advice"
	"github.com/chestnutsail/chestnutsail/caller"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/settings"
)

// Tables of the pages that follow from the code. CHESTNUTSAIL_UPDATE=1 writes them
// anew instead of comparing them.
func TestTablesMatchTheCode(t *testing.T) {
	tables := []struct {
		page, name string
		rows       func() []string
	}{
		{"OPERATING.md", "settings", settingRows},
		{"OPERATING.md", "retries", retryRows},
		{"API.md", "reasons", reasonRows},
		{"OPERATING.md", "commands", func() []string { return commandRows(t) }},
		{"OPERATING.md", "pages", func() []string { return pageRows(t, "operating", "operating/") }},
		{"design/README.md", "notes", func() []string { return pageRows(t, "design", "") }},
	}
	for _, c := range tables {
		t.Run(c.name, func(t *testing.T) { compare(t, c.page, c.name, strings.Join(c.rows(), "\n")) })
	}
}

func compare(t *testing.T, page, name, want string) {
	raw, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	begin, end := "<!-- "+name+" -->\n", "<!-- end of "+name+" -->"
	i := strings.Index(string(raw), begin)
	j := strings.Index(string(raw), end)
	if i < 0 || j < 0 {
		t.Fatalf("%s has no table %s", page, name)
	}
	i += len(begin)
	want += "\n"
	if got := string(raw[i:j]); got == want {
		return
	}
	if os.Getenv("CHESTNUTSAIL_UPDATE") == "" {
		t.Fatalf("%s: table %s differs from the code; run CHESTNUTSAIL_UPDATE=1 go test ./docs", page, name)
	}
	if err := os.WriteFile(page, []byte(string(raw[:i])+want+string(raw[j:])), 0o600); err != nil {
		t.Fatal(err)
	}
}

func settingRows() []string {
	rows := []string{"| flag | variable | default | allowed | what it is |", "|---|---|---|---|---|"}
	for _, s := range settings.Table() {
		rows = append(rows, fmt.Sprintf("| `--%s` | `%s` | %s | %s | %s |", s.Flag, s.Variable, code(s.Default), s.Allowed, s.Help))
	}
	return rows
}

func reasonRows() []string {
	rows := []string{"| reason | status refused | status unknown | what to do |", "|---|---|---|---|"}
	for _, r := range outcome.Reasons() {
		refused := caller.Status(outcome.Refuse("", r, 0, ""))
		unknown := caller.Status(outcome.Outcome{Kind: outcome.Unknown, Reason: r})
		rows = append(rows, fmt.Sprintf("| `%s` | %d | %d | %s |", r, refused, unknown, advice.For(r)))
	}
	return rows
}

func retryRows() []string {
	rows := []string{"| reason | what it means and what to do |", "|---|---|"}
	for _, r := range outcome.Retries() {
		rows = append(rows, fmt.Sprintf("| `%s` | %s |", r, advice.Retried(r)))
	}
	return rows
}

var commandLine = regexp.MustCompile(`^([a-z]+)( .*)?$`)

// commandRows reads the commands and what they do from the program's help.
func commandRows(t *testing.T) []string {
	out, err := exec.Command("go", "run", "../cmd/chestnutsail", "--help").CombinedOutput()
	if err != nil && len(out) == 0 {
		t.Fatal(err)
	}
	_, list, found := strings.Cut(string(out), "\nCommands:\n")
	if !found {
		t.Fatalf("the help lists no commands:\n%s", out)
	}
	rows := []string{"| command | what it does |", "|---|---|"}
	lines := strings.Split(list, "\n")
	for i, line := range lines {
		m := commandLine.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		// A long description is wrapped and ends at an empty line.
		end := i + 1 + slices.Index(lines[i+1:], "")
		help := strings.Join(strings.Fields(strings.Join(lines[i+1:end], " ")), " ")
		rows = append(rows, fmt.Sprintf("| `%s` | %s |", m[1], help))
	}
	return rows
}

// pageRows lists the pages of a directory by their headings.
func pageRows(t *testing.T, dir, prefix string) []string {
	pages, err := filepath.Glob(dir + "/*.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := []string{}
	for _, page := range pages {
		name := filepath.Base(page)
		if name == "README.md" {
			continue
		}
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		heading, _, _ := strings.Cut(string(raw), "\n")
		rows = append(rows, fmt.Sprintf("- [%s](%s%s)", strings.TrimLeft(heading, "# "), prefix, name))
	}
	return rows
}

var link = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

func TestLinksResolve(t *testing.T) {
	for _, pattern := range []string{"../*.md", "*.md", "*/*.md"} {
		pages, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, page := range pages {
			raw, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range link.FindAllStringSubmatch(string(raw), -1) {
				if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
					t.Errorf("%s: broken link %s", page, m[1])
				}
			}
		}
	}
}

func code(v string) string {
	if v == "" {
		return ""
	}
	return "`" + v + "`"
}
