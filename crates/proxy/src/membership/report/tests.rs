use super::*;
use serde_json::json;

fn complete_report() -> MembershipReport {
    MembershipReport {
        name: "a".to_owned(),
        address: "10.0.0.1:7946".to_owned(),
        size: 2,
        digest: format_digest(0xab),
        age_ms: 3,
        agreement_ratio: 0.5,
        live_count: 4,
        partition_suspected: true,
        bytes_sent: 5,
        discarded_datagrams: BTreeMap::from([("version".to_owned(), 6)]),
        members: vec![MemberReport {
            name: "b".to_owned(),
            address: "10.0.0.2:7946".to_owned(),
            zone: "z".to_owned(),
            release: "1".to_owned(),
            incarnation: 7,
            status: "present".to_owned(),
            status_age_ms: 8,
        }],
        scope: "s".to_owned(),
        scopes: vec![ScopeReport {
            name: "t".to_owned(),
            member_count: 9,
            live_count: 10,
            digest: format_digest(0xcd),
            age_ms: 11,
            status: "silent".to_owned(),
        }],
    }
}

/// Guards against renamed keys, which operators' tools read.
#[test]
fn the_report_keeps_its_json_keys() {
    let report = complete_report();
    let expected = json!({
        "name": "a",
        "address": "10.0.0.1:7946",
        "size": 2,
        "digest": "000000ab",
        "age_ms": 3,
        "agreement": 0.5,
        "count": 4,
        "cut": true,
        "bytes_sent": 5,
        "thrown_away": { "version": 6 },
        "members": [{
            "name": "b",
            "address": "10.0.0.2:7946",
            "zone": "z",
            "release": "1",
            "life": 7,
            "standing": "present",
            "for_ms": 8,
        }],
        "scope": "s",
        "scopes": [{
            "name": "t",
            "present": 9,
            "counted": 10,
            "digest": "000000cd",
            "age_ms": 11,
            "hearing": "silent",
        }],
    });
    assert_eq!(serde_json::to_value(&report).expect("JSON"), expected);
    assert_eq!(serde_json::from_value::<MembershipReport>(expected).expect("a report"), report);
}
