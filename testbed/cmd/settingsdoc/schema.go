package main

import (
	"bytes"
	"encoding/json"
	"strings"
)

// schemaNode is the part of a JSON schema that the settings use.
type schemaNode struct {
	Ref         string                 `json:"$ref"`
	Type        string                 `json:"type"`
	Description string                 `json:"description"`
	Default     json.RawMessage        `json:"default"`
	Minimum     json.RawMessage        `json:"minimum"`
	Maximum     json.RawMessage        `json:"maximum"`
	Properties  orderedProperties      `json:"properties"`
	Defs        map[string]*schemaNode `json:"$defs"`
	Examples    []json.RawMessage      `json:"examples"`
}

type property struct {
	name string
	node *schemaNode
}

// orderedProperties keeps properties in the order of the schema.
type orderedProperties []property

// UnmarshalJSON implements json.Unmarshaler.
func (o *orderedProperties) UnmarshalJSON(text []byte) error {
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
		var value schemaNode
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
	key, kind, description, defaultValue, minimum, maximum string
}

// flatten lists the tables with their keys in the order of the schema.
func flatten(schema *schemaNode) []table {
	tables := []table{}
	for _, p := range schema.Properties {
		tables = append(tables, flattenTable(schema, p.name, p.node)...)
	}
	return tables
}

func flattenTable(schema *schemaNode, path string, n *schemaNode) []table {
	resolved := n
	if n.Ref != "" {
		resolved = schema.Defs[strings.TrimPrefix(n.Ref, "#/$defs/")]
	}
	tableDefaults := map[string]json.RawMessage{}
	_ = json.Unmarshal(n.Default, &tableDefaults)
	own := table{path: path, description: resolved.Description}
	nested := []table{}
	for _, p := range resolved.Properties {
		if p.node.Ref != "" || p.node.Type == "object" {
			nested = append(nested, flattenTable(schema, path+"."+p.name, p.node)...)
			continue
		}
		defaultValue := p.node.Default
		if tableDefaults[p.name] != nil {
			defaultValue = tableDefaults[p.name]
		}
		own.settings = append(own.settings, setting{
			key: p.name, kind: p.node.Type, description: p.node.Description, defaultValue: string(defaultValue),
			minimum: string(p.node.Minimum), maximum: string(p.node.Maximum),
		})
	}
	return append([]table{own}, nested...)
}
