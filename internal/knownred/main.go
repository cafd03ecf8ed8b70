// Command knownred judges a log of go test against the list of tests that are
// known to fail. It is a tool of CI and no part of the product.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	listFile := flag.String("list", "KNOWN-RED.txt", "list of tests known to fail")
	logFile := flag.String("log", "", "output of go test")
	status := flag.Int("status", 0, "exit status of the command that wrote the log")
	flag.Parse()

	report, err := judgeFiles(*listFile, *logFile, *status)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(report)
	if !report.passed() {
		os.Exit(1)
	}
}

func judgeFiles(listFile, logFile string, status int) (report, error) {
	list, err := readList(listFile)
	if err != nil {
		return report{}, err
	}
	log, err := os.ReadFile(logFile)
	if err != nil {
		return report{}, fmt.Errorf("read log of go test: %w", err)
	}
	return judge(list, readLog(string(log)), status), nil
}
