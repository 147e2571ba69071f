// Command placeholder.
package main

func main() {}
