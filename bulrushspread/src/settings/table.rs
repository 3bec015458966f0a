//! The table of all settings, made from the JSON Schema.

use serde_json::{Map, Value};

/// One row for each setting: its path, default and meaning, as a Markdown table.
pub(super) fn table(schema: &Value) -> String {
    let mut rows = vec!["| key | default | meaning |\n| --- | --- | --- |\n".to_string()];
    let root = Section { schema, object: schema, path: String::new(), defaults: &Value::Null };
    root.rows(&mut rows);
    rows.concat()
}

/// One object of the settings.
struct Section<'a> {
    schema: &'a Value,
    object: &'a Value,
    /// The path of the object, with a dot at its end unless it is the root.
    path: String,
    /// The default of the whole object, if it has one.
    defaults: &'a Value,
}

impl Section<'_> {
    fn rows(&self, rows: &mut Vec<String>) {
        let empty = Map::new();
        let properties = self.object["properties"].as_object().unwrap_or(&empty);
        for (name, property) in properties {
            let path = format!("{}{name}", self.path);
            let default = property.get("default").unwrap_or(&self.defaults[name]);
            let target = resolve(self.schema, property);
            if target["type"] != "object" {
                rows.push(self.row(&path, name, property, default));
                continue;
            }
            let path = format!("{path}.");
            Section { schema: self.schema, object: target, path, defaults: default }.rows(rows);
        }
    }

    fn row(&self, path: &str, name: &str, property: &Value, default: &Value) -> String {
        let required = self.object["required"].as_array();
        let default = match default {
            _ if required.is_some_and(|names| names.iter().any(|known| known == name)) => {
                "required".to_string()
            }
            Value::Null => "none".to_string(),
            default => format!("`{default}`"),
        };
        let target = resolve(self.schema, property);
        let meaning = property["description"].as_str().or(target["description"].as_str());
        format!("| `{path}` | {default} | {} |\n", meaning.unwrap_or_default().replace('\n', " "))
    }
}

/// The definition that a property refers to, or the property itself.
fn resolve<'a>(schema: &'a Value, property: &'a Value) -> &'a Value {
    let reference = property["$ref"].as_str().or(property["allOf"][0]["$ref"].as_str());
    let pointer = reference.and_then(|reference| reference.strip_prefix('#'));
    pointer.and_then(|pointer| schema.pointer(pointer)).unwrap_or(property)
}
