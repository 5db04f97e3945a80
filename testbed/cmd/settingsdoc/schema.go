package main

import (
	"bytes"
	"encoding/json"
	"strings"
)

// node is the part of a JSON schema that the settings use.
type node struct {
	Ref         string            `json:"$ref"`
	Type        string            `json:"type"`
	Description string            `json:"description"`
	Default     json.RawMessage   `json:"default"`
	Minimum     json.RawMessage   `json:"minimum"`
	Maximum     json.RawMessage   `json:"maximum"`
	Properties  ordered           `json:"properties"`
	Defs        map[string]*node  `json:"$defs"`
	Examples    []json.RawMessage `json:"examples"`
}

type property struct {
	name string
	node *node
}

// ordered keeps properties in the order of the schema.
type ordered []property

// UnmarshalJSON implements json.Unmarshaler.
func (o *ordered) UnmarshalJSON(text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	_, err := decoder.Token()
	if err != nil {
		return err
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return err
		}
		var value node
		err = decoder.Decode(&value)
		if err != nil {
			return err
		}
		*o = append(*o, property{name: name.(string), node: &value})
	}
	return nil
}

// table is one table of the settings file.
type table struct {
	path        string
	description string
	settings    []setting
}

// setting is one key. An absent default, minimum or maximum is empty.
type setting struct {
	key, kind, description, fallback, minimum, maximum string
}

// flatten lists the tables with their keys in the order of the schema.
func flatten(schema *node) []table {
	tables := []table{}
	for _, p := range schema.Properties {
		tables = append(tables, tablesOf(schema, p.name, p.node)...)
	}
	return tables
}

func tablesOf(schema *node, path string, n *node) []table {
	target := n
	if n.Ref != "" {
		target = schema.Defs[strings.TrimPrefix(n.Ref, "#/$defs/")]
	}
	given := map[string]json.RawMessage{}
	_ = json.Unmarshal(n.Default, &given)
	own := table{path: path, description: target.Description}
	nested := []table{}
	for _, p := range target.Properties {
		if p.node.Ref != "" || p.node.Type == "object" {
			nested = append(nested, tablesOf(schema, path+"."+p.name, p.node)...)
			continue
		}
		fallback := p.node.Default
		if given[p.name] != nil {
			fallback = given[p.name]
		}
		own.settings = append(own.settings, setting{
			key: p.name, kind: p.node.Type, description: p.node.Description, fallback: string(fallback),
			minimum: string(p.node.Minimum), maximum: string(p.node.Maximum),
		})
	}
	return append([]table{own}, nested...)
}
