//! Where in a file each value stands, by its JSON pointer.

use jsonc_parser::ast;
use std::collections::HashMap;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Byte ranges of the values of one file.
#[derive(Debug, Default)]
pub struct Places(HashMap<String, Range<usize>>);

impl Places {
    /// Those of a JSON text; none where it is no JSON.
    pub fn json(text: &str) -> Self {
        let mut places = Places::default();
        let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &Default::default());
        if let Some(value) = parsed.ok().and_then(|parsed| parsed.value) {
            places.json_value(String::new(), &value);
        }
        places
    }

    /// Those of a TOML text.
    pub fn toml(table: &Spanned<DeTable<'_>>) -> Self {
        let mut places = Places::default();
        places.0.insert(String::new(), table.span());
        places.toml_table("", table.get_ref());
        places
    }

    /// Where the value of this pointer stands, or the nearest that holds it.
    pub fn find(&self, pointer: &str) -> Range<usize> {
        let mut part = pointer;
        loop {
            match (self.0.get(part), part.rfind('/')) {
                (Some(range), _) => return range.clone(),
                (None, Some(end)) => part = &part[..end],
                (None, None) => return 0..0,
            }
        }
    }

    fn json_value(&mut self, pointer: String, value: &ast::Value<'_>) {
        let range = match value {
            ast::Value::StringLit(v) => v.range,
            ast::Value::NumberLit(v) => v.range,
            ast::Value::BooleanLit(v) => v.range,
            ast::Value::NullKeyword(v) => v.range,
            ast::Value::Object(v) => {
                for property in &v.properties {
                    self.json_value(under(&pointer, property.name.as_str()), &property.value);
                }
                v.range
            }
            ast::Value::Array(v) => {
                for (index, element) in v.elements.iter().enumerate() {
                    self.json_value(under(&pointer, &index.to_string()), element);
                }
                v.range
            }
        };
        self.0.insert(pointer, range.start..range.end);
    }

    fn toml_table(&mut self, pointer: &str, table: &DeTable<'_>) {
        for (key, value) in table {
            self.toml_value(under(pointer, key.get_ref()), value);
        }
    }

    fn toml_value(&mut self, pointer: String, value: &Spanned<DeValue<'_>>) {
        match value.get_ref() {
            DeValue::Table(table) => self.toml_table(&pointer, table),
            DeValue::Array(array) => {
                for (index, element) in array.iter().enumerate() {
                    self.toml_value(under(&pointer, &index.to_string()), element);
                }
            }
            _ => {}
        }
        self.0.insert(pointer, value.span());
    }
}

/// The pointer of a key under another (RFC 6901).
pub fn under(pointer: &str, key: &str) -> String {
    format!("{pointer}/{}", key.replace('~', "~0").replace('/', "~1"))
}

/// A pointer as people write it: `settings.classes[0].name`.
pub fn dotted(pointer: &str) -> String {
    let mut text = String::new();
    for part in pointer.split('/').skip(1) {
        if part.bytes().all(|b| b.is_ascii_digit()) && !part.is_empty() {
            text += &format!("[{part}]");
        } else {
            text += if text.is_empty() { "" } else { "." };
            text += &part.replace("~1", "/").replace("~0", "~");
        }
    }
    text
}
