//! Byte ranges of the values in a file, by JSON pointer.

use jsonc_parser::ast;
use std::collections::HashMap;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Byte ranges of the values in one file, by JSON pointer.
#[derive(Debug, Default)]
pub struct SourceSpans(HashMap<String, Range<usize>>);

impl SourceSpans {
    /// The spans of a JSON text; empty if the text is not valid JSON.
    pub fn json(text: &str) -> Self {
        let mut spans = SourceSpans::default();
        let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &Default::default());
        if let Some(value) = parsed.ok().and_then(|parsed| parsed.value) {
            spans.json_value(String::new(), &value);
        }
        spans
    }

    /// The spans of a TOML text.
    pub fn toml(table: &Spanned<DeTable<'_>>) -> Self {
        let mut spans = SourceSpans::default();
        spans.0.insert(String::new(), table.span());
        spans.toml_table("", table.get_ref());
        spans
    }

    /// The range of the value at a pointer, or of the innermost value that contains it.
    pub fn find(&self, pointer: &str) -> Range<usize> {
        let mut prefix = pointer;
        loop {
            match (self.0.get(prefix), prefix.rfind('/')) {
                (Some(range), _) => return range.clone(),
                (None, Some(end)) => prefix = &prefix[..end],
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
                    self.json_value(child_pointer(&pointer, property.name.as_str()), &property.value);
                }
                v.range
            }
            ast::Value::Array(v) => {
                for (index, element) in v.elements.iter().enumerate() {
                    self.json_value(child_pointer(&pointer, &index.to_string()), element);
                }
                v.range
            }
        };
        self.0.insert(pointer, range.start..range.end);
    }

    fn toml_table(&mut self, pointer: &str, table: &DeTable<'_>) {
        for (key, value) in table {
            self.toml_value(child_pointer(pointer, key.get_ref()), value);
        }
    }

    fn toml_value(&mut self, pointer: String, value: &Spanned<DeValue<'_>>) {
        match value.get_ref() {
            DeValue::Table(table) => self.toml_table(&pointer, table),
            DeValue::Array(array) => {
                for (index, element) in array.iter().enumerate() {
                    self.toml_value(child_pointer(&pointer, &index.to_string()), element);
                }
            }
            _ => {}
        }
        self.0.insert(pointer, value.span());
    }
}

/// Appends a key to a JSON pointer (RFC 6901).
pub fn child_pointer(pointer: &str, key: &str) -> String {
    format!("{pointer}/{}", key.replace('~', "~0").replace('/', "~1"))
}

/// A JSON pointer in dotted notation: `settings.classes[0].name`.
pub fn dotted_path(pointer: &str) -> String {
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
