//! Generates the reference page of the settings from the types, so that it cannot become outdated.

use std::fmt::Write;

use serde_json::Value;

use crate::model::Settings;

const HEAD: &str = "# Settings\n\n\
    Made from the types by `BUCKTHORNCROSS_WRITE_DOCS=1 cargo test -p settings --test reference`; \
    the same test fails when this page is stale. `buckthorncrossd run FILE --check` checks a file.\n";

/// Generates the page in Markdown.
#[must_use]
pub fn page() -> String {
    let schema = schemars::schema_for!(Settings);
    let schema = schema.as_value();
    let mut page = HEAD.to_owned();
    section(&mut page, schema, "", schema);
    page
}

/// Writes the table of an object's keys, then the sections of nested objects and of lists of
/// objects.
fn section(page: &mut String, schema: &Value, path: &str, object: &Value) {
    let title = if path.is_empty() { "Top level" } else { path };
    let about = text(object, "description");
    // Writing to a string cannot fail.
    let _ = write!(
        page,
        "\n## {title}\n\n{about}\n\n| key | type | default | meaning |\n|---|---|---|---|\n"
    );
    let none = serde_json::Map::new();
    let keys = object["properties"].as_object().unwrap_or(&none);
    for (key, value) in keys {
        let _ = writeln!(
            page,
            "| `{key}` | {} | {} | {} |",
            type_name(schema, value),
            default_text(object, key, value),
            text(value, "description").replace('|', "\\|"),
        );
    }
    for (key, value) in keys {
        let inner = resolve(schema, value);
        let list = resolve(schema, &value["items"]);
        let path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        if inner.get("properties").is_some() {
            section(page, schema, &path, inner);
        } else if list.get("properties").is_some() {
            section(page, schema, &format!("{path}[]"), list);
        }
    }
}

fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or_default()
}

/// Returns the definition that a schema refers to, or the schema itself if it is no reference.
fn resolve<'a>(schema: &'a Value, value: &'a Value) -> &'a Value {
    let name = value["$ref"]
        .as_str()
        .and_then(|r| r.strip_prefix("#/$defs/"));
    name.map_or(value, |name| &schema["$defs"][name])
}

/// Describes the type of a key's value in a few words.
fn type_name(schema: &Value, value: &Value) -> String {
    let value = resolve(schema, value);
    if let Some(variants) = value["oneOf"].as_array() {
        let names = variants.iter().filter_map(|v| v["const"].as_str());
        return names
            .map(|name| format!("`{name}`"))
            .collect::<Vec<_>>()
            .join(" or ");
    }
    if let Some(inner) = value["anyOf"].as_array().and_then(|any| any.first()) {
        return format!("{} or nothing", type_name(schema, inner));
    }
    match &value["type"] {
        Value::String(name) if name == "array" => {
            format!("list of {}", type_name(schema, &value["items"]))
        }
        Value::String(name) if name == "object" => "map".to_owned(),
        Value::String(name) => name.clone(),
        Value::Array(names) => {
            let names = names.iter().filter_map(Value::as_str);
            let names = names.map(|name| if name == "null" { "nothing" } else { name });
            names.collect::<Vec<_>>().join(" or ")
        }
        _ => "any".to_owned(),
    }
}

fn default_text(object: &Value, key: &str, value: &Value) -> String {
    let required = object["required"].as_array();
    if required.is_some_and(|keys| keys.iter().any(|k| k == key)) {
        return "required".to_owned();
    }
    match &value["default"] {
        Value::Null => "–".to_owned(),
        Value::Object(_) => "as below".to_owned(),
        given => format!("`{given}`"),
    }
}
