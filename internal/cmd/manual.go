package cmd

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// WriteManPage writes the manual page of the command line as roff.
func (a *App) WriteManPage(w io.Writer) error {
	parser, err := a.Parser()
	if err != nil {
		return err
	}
	p := &manPage{}
	p.line(`.\" Written by go run ./man/gen; change the commands, not this page.`)
	p.line(`.TH MARIGOLDSCALE 1 "" "marigoldscale" "User Commands"`)
	p.section("NAME")
	p.line(`marigoldscale \- check, publish and inspect the configuration of routers`)
	p.section("SYNOPSIS")
	p.line(`.B marigoldscale`)
	p.line(`[\fIflags\fR] \fIcommand\fR [\fIarguments\fR]`)
	p.section("DESCRIPTION")
	p.text(parser.Model.Help)
	p.section("COMMANDS")
	for _, n := range parser.Model.Children {
		p.command(n)
	}
	p.section("FLAGS OF ALL COMMANDS")
	p.flags(parser.Model.Flags)
	p.exitStatus()
	p.section("FILES")
	p.text("marigoldscale.toml and *.marigold.toml, anywhere in a tree, are operators' files; docs/CONFIG.md gives every key.")
	p.section("SEE ALSO")
	p.line(`.BR marigoldscaled (1)`)
	if _, err := io.WriteString(w, p.b.String()); err != nil {
		return fmt.Errorf("writing the manual page: %w", err)
	}
	return nil
}

// manPage collects the text of a manual page.
type manPage struct {
	b strings.Builder
}

// line writes a line of roff without escaping it.
func (p *manPage) line(roff string) {
	p.b.WriteString(roff + "\n")
}

func (p *manPage) section(title string) {
	p.line(".SH " + title)
}

// text writes plain text. Indented lines are not filled.
func (p *manPage) text(plain string) {
	open := false
	for _, l := range strings.Split(plain, "\n") {
		verbatim := strings.HasPrefix(l, "  ")
		switch {
		case verbatim && !open:
			p.line(".nf")
		case !verbatim && open:
			p.line(".fi")
		case l == "":
			p.line(".PP")
			continue
		}
		open = verbatim
		p.line(escapeRoff(l))
	}
	if open {
		p.line(".fi")
	}
}

// command writes a command and its subcommands.
func (p *manPage) command(n *kong.Node) {
	p.line(".SS " + escapeRoff(commandSynopsis(n)))
	p.text(n.Help)
	if n.Detail != "" {
		p.line(".PP")
		p.text(n.Detail)
	}
	for _, a := range n.Positional {
		p.taggedParagraph(a.Summary(), a.Help)
	}
	p.flags(n.Flags)
	for _, child := range n.Children {
		p.command(child)
	}
}

func (p *manPage) flags(flags []*kong.Flag) {
	for _, f := range flags {
		help := f.Help
		if len(f.Envs) > 0 {
			help += " Environment variable " + strings.Join(f.Envs, ", ") + "."
		}
		p.taggedParagraph(f.String(), help)
	}
}

func (p *manPage) taggedParagraph(term, help string) {
	p.line(".TP")
	p.line(`.B ` + escapeRoff(term))
	p.line(escapeRoff(help))
}

func (p *manPage) exitStatus() {
	p.section("EXIT STATUS")
	p.taggedParagraph(fmt.Sprint(exitOK), "Done.")
	p.taggedParagraph(fmt.Sprint(exitRefused), "The change is invalid or conflicts with another change.")
	p.taggedParagraph(fmt.Sprint(exitInput), "Invalid flags, settings or files.")
	p.taggedParagraph(fmt.Sprint(exitUnreachable), "The platform or the routers are unreachable.")
	p.taggedParagraph(fmt.Sprint(exitNotApplied), "Published, but not in force on every router in time.")
}

func commandSynopsis(n *kong.Node) string {
	words := []string{n.Name}
	for parent := n.Parent; parent != nil && parent.Parent != nil; parent = parent.Parent {
		words = append([]string{parent.Name}, words...)
	}
	for _, a := range n.Positional {
		words = append(words, a.Summary())
	}
	return strings.Join(words, " ")
}

func escapeRoff(plain string) string {
	plain = strings.ReplaceAll(plain, `\`, `\e`)
	plain = strings.ReplaceAll(plain, "-", `\-`)
	if strings.HasPrefix(plain, ".") || strings.HasPrefix(plain, "'") {
		return `\&` + plain
	}
	return plain
}
