//! The JSON schema of the configuration, and the validation of a file against it.

use super::diagnostics::Diagnostic;
use super::document::Document;
use super::source_spans::child_pointer;
use jsonschema::error::ValidationErrorKind as Kind;
use jsonschema::{ValidationError, Validator};
use schemars::generate::SchemaSettings;
use schemars::transform::RecursiveTransform;
use schemars::Schema;
use serde_json::Value;
use std::net::SocketAddr;

/// Maximum edit distance at which a known key is suggested in place of an unknown one.
const MAX_SUGGESTION_DISTANCE_EDITS: usize = 3;

/// The JSON schema of the configuration. `strict`: unknown keys are errors.
pub fn schema(strict: bool) -> Schema {
    let mut settings = SchemaSettings::draft2020_12();
    settings.inline_subschemas = true;
    if strict {
        settings.transforms.push(Box::new(RecursiveTransform(|schema: &mut Schema| {
            if schema.get("properties").is_some() {
                schema.insert("additionalProperties".to_owned(), false.into());
            }
        })));
    }
    settings.into_generator().into_root_schema_for::<Document>()
}

/// Validates a document against the schema. An unknown key is a warning in JSON, where it has no effect, and an error
/// in the human-readable form, where it may be mistyped.
pub fn validate(document: &Value, human_readable: bool) -> Vec<Diagnostic> {
    let schema = schema(true).to_value();
    let is_address = |text: &str| text.parse::<SocketAddr>().is_ok();
    let options = jsonschema::options().should_validate_formats(true);
    let validator: Result<Validator, _> = options.with_format("socket-address", is_address).build(&schema);
    match validator {
        Ok(validator) => {
            let check = SchemaCheck { schema: &schema, human_readable };
            validator.iter_errors(document).flat_map(|error| check.diagnostics(&error)).collect()
        }
        Err(error) => vec![Diagnostic::error(
            "",
            format!("internal error, the configuration schema is invalid: {error}"),
        )],
    }
}

/// Adds the description of the key as the remedy of a diagnostic that the schema validation did not produce.
pub fn with_remedy(diagnostic: Diagnostic) -> Diagnostic {
    let remedy = description(&schema(true).to_value(), &diagnostic.pointer).map(str::to_owned);
    Diagnostic { remedy, ..diagnostic }
}

/// Turns validation errors into diagnostics.
struct SchemaCheck<'a> {
    schema: &'a Value,
    human_readable: bool,
}

impl SchemaCheck<'_> {
    fn diagnostics(&self, error: &ValidationError<'_>) -> Vec<Diagnostic> {
        let pointer = error.instance_path().as_str();
        match error.kind() {
            Kind::Required { property } => {
                vec![self.missing_key(pointer, property.as_str().unwrap_or_default())]
            }
            Kind::AdditionalProperties { unexpected } => {
                unexpected.iter().map(|key| self.unknown_key(pointer, key)).collect()
            }
            Kind::Enum { options } => vec![self.unknown_variant(error, options)],
            _ => {
                let problem = describe_invalid_value(error);
                vec![Diagnostic { remedy: self.remedy(pointer), ..Diagnostic::error(pointer, problem) }]
            }
        }
    }

    /// The description of a key, if the schema has one.
    fn remedy(&self, pointer: &str) -> Option<String> {
        description(self.schema, pointer).map(str::to_owned)
    }

    fn missing_key(&self, pointer: &str, key: &str) -> Diagnostic {
        let remedy =
            self.remedy(&child_pointer(pointer, key)).map(|description| format!("add {key}: {description}"));
        Diagnostic { remedy, ..Diagnostic::error(pointer, format!("{key} is missing")) }
    }

    fn unknown_key(&self, pointer: &str, key: &str) -> Diagnostic {
        let diagnostic = Diagnostic::error(child_pointer(pointer, key), "unknown key");
        if !self.human_readable {
            return Diagnostic { is_warning: true, ..diagnostic };
        }
        let remedy = match self.similar_key(pointer, key) {
            Some(similar) => format!("did you mean {similar}?"),
            None => "remove the key".to_owned(),
        };
        Diagnostic { remedy: Some(remedy), ..diagnostic }
    }

    /// The key of this table with the smallest edit distance to `key`, if one is similar enough.
    fn similar_key(&self, pointer: &str, key: &str) -> Option<&String> {
        let known = subschema(self.schema, pointer)?.get("properties")?.as_object()?;
        let by_distance = known.keys().map(|known| (strsim::osa_distance(known, key), known));
        let similar = by_distance.filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE_EDITS);
        similar.min().map(|(_, known)| known)
    }

    fn unknown_variant(&self, error: &ValidationError<'_>, options: &Value) -> Diagnostic {
        let variants = options.as_array().into_iter().flatten().filter_map(Value::as_str);
        let quoted = variants.filter(|variant| !variant.is_empty()).map(|variant| format!("\"{variant}\""));
        let expected = format!("one of {}", quoted.collect::<Vec<_>>().join(", "));
        let pointer = error.instance_path().as_str();
        Diagnostic {
            remedy: self.remedy(pointer),
            // In JSON an unknown value is replaced by the most restrictive one.
            is_warning: !self.human_readable,
            ..Diagnostic::error(pointer, expected_found(&expected, error.instance()))
        }
    }
}

/// Describes why a value has the wrong type or is out of range.
fn describe_invalid_value(error: &ValidationError<'_>) -> String {
    let expected = match error.kind() {
        Kind::Type { kind } => type_name(&format!("{kind:?}").to_lowercase()).to_owned(),
        Kind::Minimum { limit } => format!("at least {limit}"),
        Kind::Maximum { limit } => format!("at most {limit}"),
        Kind::MinItems { limit } => format!("at least {limit} entry"),
        Kind::MinLength { limit } => format!("at least {limit} character"),
        Kind::MaxLength { limit } => format!("at most {limit} characters"),
        Kind::Format { .. } => "an address such as 127.0.0.1:5000".to_owned(),
        Kind::Pattern { .. } => "hexadecimal digits".to_owned(),
        _ => return error.to_string(),
    };
    expected_found(&expected, error.instance())
}

fn expected_found(expected: &str, found: &Value) -> String {
    format!("expected {expected}, found {}", abbreviated(found))
}

/// The name of a JSON type for messages. `kinds` contains one or several type names in lower case.
fn type_name(kinds: &str) -> &'static str {
    const NAMES: [(&str, &str); 6] = [
        ("integer", "a whole number"),
        ("number", "a number"),
        ("boolean", "true or false"),
        ("object", "a table"),
        ("array", "a list"),
        ("string", "a quoted string"),
    ];
    let found = NAMES.iter().find(|(json, _)| kinds.contains(json));
    found.map_or("another kind of value", |(_, name)| name)
}

/// A value, abbreviated for messages.
fn abbreviated(value: &Value) -> String {
    match value {
        Value::Array(items) => format!("a list of {}", items.len()),
        Value::Object(_) => "a table".to_owned(),
        scalar => scalar.to_string(),
    }
}

/// The schema of the value at a pointer.
fn subschema<'a>(schema: &'a Value, pointer: &str) -> Option<&'a Value> {
    pointer.split('/').skip(1).try_fold(schema, |schema, key| {
        let branches = schema.get("anyOf").and_then(Value::as_array).into_iter().flatten();
        let mut candidates = std::iter::once(schema).chain(branches);
        candidates.find_map(|candidate| {
            let property = candidate.get("properties").and_then(|properties| properties.get(key));
            property.or_else(|| candidate.get("items"))
        })
    })
}

/// The description of a key, if the schema has one.
fn description<'a>(schema: &'a Value, pointer: &str) -> Option<&'a str> {
    subschema(schema, pointer)?.get("description")?.as_str()
}
