// Package declare reads INI declarations, which operators keep in version
// control, as a desired configuration and the opening amounts of budgets. It also
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
// The package performs no I/O except on the given reader and writer. Drained
// endpoints and applied commands are not declared; an apply keeps them.
package declare
