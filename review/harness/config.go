package main

import (
	_ "embed"
	"encoding/json"
	"net"
	"net/http"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// deploymentFile holds the routes, services and settings of the cases, in the words of the users'
// pages. They follow the sheet of the site muela-rondas.
//
//go:embed deployment.json
var deploymentFile []byte

// deployment is the content of deploymentFile.
var deployment struct {
	Routes   map[string]json.RawMessage `json:"routes"`
	Services json.RawMessage            `json:"services"`
	Limits   json.RawMessage            `json:"limits"`
	Settings map[string]any             `json:"settings"`
}

func init() {
	if err := json.Unmarshal(deploymentFile, &deployment); err != nil {
		panic(err)
	}
}

// Names in deploymentFile.
const (
	host                                   = "rondas.example"
	modelService, appService               = "motor-notas", "rondas-app"
	chartRoute, historyRoute, bookingRoute = "chart", "history", "booking"
)

// The tenant of all cases and its key.
const tenantName, tenantKey = "clinica", "key-clinica"

// startStore serves a store on a free loopback port.
func startStore() (store *machines.Store, address string, err error) {
	if store, err = machines.NewStore(); err != nil {
		return nil, "", err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(l, store) }() // ends with the process
	return store, l.Addr().String(), nil
}

// putConfig writes a configuration as the operator does. prepaid is what the tenant has prepaid.
func putConfig(store *machines.Store, prepaid int64, routes ...string) {
	var declared []json.RawMessage
	for _, name := range routes {
		declared = append(declared, deployment.Routes[name])
	}
	putJSON(store, machines.ConfigKey, map[string]any{
		"version": 1, "routes": declared, "services": deployment.Services, "limits": deployment.Limits,
		"tenants": []any{map[string]any{"name": tenantName, "api_keys": []string{tenantKey}, "prepaid": prepaid}},
	})
}

// putJSON writes a value without a lease, as the operator or a runner does.
func putJSON(store *machines.Store, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.Put(key, string(data))
}
