package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/settings"
	"github.com/chestnutsail/chestnutsail/token"
)

type tokenCommand struct {
	secret  string
	role    string
	account string
}

func (*tokenCommand) name() string { return "token" }

func (c *tokenCommand) bind(app *kingpin.Application) {
	cmd := app.Command("token", "Print a bearer token.")
	cmd.HelpLong("  export CHESTNUTSAIL_TOKEN=$(chestnutsail token caller kulhar)\n")
	cmd.Flag("secret", "Secret that signs the token.").Envar(settings.Variable("secret")).Required().StringVar(&c.secret)
	cmd.Arg("role", "Role of the bearer.").Required().EnumVar(&c.role, string(token.Caller), string(token.Operator))
	cmd.Arg("account", "Account of a caller, or name of an operator.").Required().StringVar(&c.account)
}

func (c *tokenCommand) run() int {
	fmt.Println(token.New(c.secret).Mint(token.Role(c.role), c.account))
	return exitOK
}

const (
	bashCompletion = `_chestnutsail() {
  local cur=${COMP_WORDS[COMP_CWORD]}
  COMPREPLY=( $(compgen -W "$(${COMP_WORDS[0]} --completion-bash ${COMP_WORDS[@]:1:$COMP_CWORD})" -- "$cur") )
}
complete -F _chestnutsail -o default chestnutsail
`
	zshCompletion = "autoload -U compinit && compinit\nautoload -U bashcompinit && bashcompinit\n\n" + bashCompletion
)

type completionCommand struct{ shell string }

func (*completionCommand) name() string { return "completion" }

func (c *completionCommand) bind(app *kingpin.Application) {
	cmd := app.Command("completion", "Print a completion script for a shell.")
	cmd.HelpLong("  source <(chestnutsail completion bash)\n")
	cmd.Arg("shell", "Shell: bash or zsh.").Required().EnumVar(&c.shell, "bash", "zsh")
}

func (c *completionCommand) run() int {
	script := bashCompletion
	if c.shell == "zsh" {
		script = zshCompletion
	}
	_, _ = fmt.Fprint(os.Stdout, script)
	return exitOK
}

type versionCommand struct{}

func (*versionCommand) name() string { return "version" }

func (*versionCommand) bind(app *kingpin.Application) {
	app.Command("version", "Print the version.")
}

func (*versionCommand) run() int {
	v := struct {
		Version  string `json:"version"`
		Revision string `json:"revision,omitempty"`
		Go       string `json:"go"`
	}{Version: "devel"}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Go = info.GoVersion
		if info.Main.Version != "" && info.Main.Version != "(devel)" {
			v.Version = info.Main.Version
		}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				v.Revision = s.Value
			}
		}
	}
	if outputJSON {
		return printJSON(v)
	}
	fmt.Println("chestnutsail", v.Version, v.Revision, v.Go)
	return exitOK
}
