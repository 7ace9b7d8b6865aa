//! Tests of which lists may be applied to the list in force.

use super::*;

fn list(index: u64, snapshot: bool, names: &[&str]) -> EndpointList {
    let endpoints: Vec<_> = names.iter().map(|name| serde_json::json!({ "name": name })).collect();
    let list = serde_json::json!({ "index": index, "snapshot": snapshot, "endpoints": endpoints });
    serde_json::from_value(list).expect("a list")
}

#[test]
fn a_snapshot_or_a_delta_with_the_same_or_a_newer_version_is_valid() {
    assert_eq!(validate(&list(7, true, &["a", "b"]), None), Ok(()));
    assert_eq!(validate(&list(7, true, &["a"]), Some(7)), Ok(()));
    assert_eq!(validate(&list(8, false, &["a"]), Some(7)), Ok(()));
}

#[test]
fn an_older_version_is_invalid() {
    let expected = InvalidEndpointList::VersionWentBack { received: 6, current: 7 };
    assert_eq!(validate(&list(6, true, &["a"]), Some(7)), Err(expected));
}

#[test]
fn a_delta_without_a_list_in_force_is_invalid() {
    assert_eq!(validate(&list(7, false, &["a"]), None), Err(InvalidEndpointList::DeltaForSnapshot));
}

#[test]
fn an_endpoint_may_be_listed_twice_only_in_a_delta() {
    let duplicate = InvalidEndpointList::DuplicateEndpoint("a".to_owned());
    assert_eq!(validate(&list(7, true, &["a", "b", "a"]), None), Err(duplicate));
    assert_eq!(validate(&list(8, false, &["a", "b", "a"]), Some(7)), Ok(()));
}
