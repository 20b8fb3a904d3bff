// Command lint runs this project's own checks of its source code.
package main

import (
	"bramleydeal/internal/lint/wrapnil"
	"golang.org/x/tools/go/analysis/multichecker"
)

func main() { multichecker.Main(wrapnil.Analyzer) }
