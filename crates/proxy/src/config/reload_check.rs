//! Detects a reloaded file that lacks a key of the file in force, as it may be truncated.

use serde_json::{Map, Value};

/// Paths of the tables whose keys must also be in the new file.
const CHECKED_TABLES: [&[&str]; 5] =
    [&[], &["limits"], &["settings"], &["settings", "limits"], &["settings", "invariants"]];
/// Keys of these tables that may be missing in the new file.
const OPTIONAL_KEYS: [&str; 3] = ["known", "operator", "peers"];

/// A key of the file in force that is missing in the new file, in dotted notation.
pub fn missing_key(in_force: &Value, new: &Value) -> Option<String> {
    let in_table = CHECKED_TABLES.iter().find_map(|table| missing_key_in_table(table, in_force, new));
    in_table.or_else(|| missing_key_in_classes(in_force, new))
}

fn missing_key_in_table(table: &[&str], in_force: &Value, new: &Value) -> Option<String> {
    let old_table = value_at(in_force, table)?.as_object()?;
    let new_table = value_at(new, table)?;
    let is_missing =
        |key: &&String| !OPTIONAL_KEYS.contains(&key.as_str()) && new_table.get(key.as_str()).is_none();
    let key = old_table.keys().find(is_missing)?;
    Some([table, &[key.as_str()]].concat().join("."))
}

/// Returns a key that each class in force has and some new class lacks.
fn missing_key_in_classes(in_force: &Value, new: &Value) -> Option<String> {
    let old_classes = classes(in_force);
    let first = old_classes.first().and_then(Value::as_object);
    let common_keys = first.into_iter().flat_map(Map::keys);
    let common_keys: Vec<&String> =
        common_keys.filter(|key| old_classes.iter().all(|class| class.get(key).is_some())).collect();
    let missing = classes(new)
        .iter()
        .find_map(|class| common_keys.iter().find(|key| class.get(key.as_str()).is_none()));
    missing.map(|key| format!("settings.classes[].{key}"))
}

fn classes(file: &Value) -> &[Value] {
    value_at(file, &["settings", "classes"]).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn value_at<'a>(file: &'a Value, path: &[&str]) -> Option<&'a Value> {
    path.iter().try_fold(file, |value, key| value.get(*key))
}
