// Package declare turns INI declarations, which operators keep in version
// control, into a desired configuration and the opening amounts of budgets, and
// plans the steps from the current configuration to the desired one.
//
// Sections:
//
//	[deployment]            domains (comma list), shards
//	[service NAME]          kind (model or app), max-output-tokens, timeout, first-byte, idle, concurrency
//	[endpoint ID]           service, address, domain, checks-fencing
//	[route SERVICE NAME]    method, path, price, repeatable
//	[workspace NAME]        key-sha256, default-budget, rate, concurrency
//	[budget WORKSPACE/NAME] opening (tokens, paid in once)
//	[engine ENDPOINT]       model, version, adapters (comma list), role
//	[objective SERVICE]     target, first-token, between-tokens
//
// Limits: the package performs no I/O beyond the reader it is given. Drained
// endpoints and applied commands are not declared and stay as they are.
package declare
