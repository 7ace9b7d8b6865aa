//! Wire compatibility with the previous release: this release writes the same bytes and reads its datagrams.

mod common;

use common::*;
use oakport_membership::DatagramKind;
use xxhash_rust::xxh3::Xxh3;

/// Hash of all datagrams of `run_recorded_fleet`, in the order of sending.
const DATAGRAMS_HASH: u64 = 0xc092b2c98c6f2c8e;
/// One datagram of each kind from `run_recorded_fleet`, as hexadecimal digits.
const SWIM: &str = concat!(
    "6f616b0156c3db9970c1edcfcafee76e026e30000a000000d836c0843d0131027a30000000026e39000a000009d836c0",
    "843d0131027a30000002036e3138000a000012d836c0843d0131027a3000002d0000",
);
const SCOPE_GOSSIP: &str = concat!(
    "6f616b11569c5b5a318a7d9b30981051000a000000d836027a300004027a300808089bfba98c030002000a000006d836",
    "000a000003d836027a32010101e5a5fbf6016408000a000008d836000a00000ed836000a000005d836000a000002d836",
    "000a000017d836000a000014d836000a000011d836000a00000bd836027a32080808d5f4989108850400027a31080808",
    "95d4b2e009dd0201000a000010d836",
);
const ANTI_ENTROPY_REQUEST: &str = "6f616b2156c3db9922befa87d2a9057200000a000000d836000122befa87";
const ANTI_ENTROPY_RESPONSE: &str = concat!(
    "6f616b2156c3db99318a7d9b20f6eec701000a000000d8360007036e3231000a000015d836a88c3d0131027a30000102",
    "6e39000a000009d836a88c3d0131027a300001036e3135000a00000fd836a88c3d0131027a300001036e3132000a0000",
    "0cd836a88c3d0131027a300001036e3138000a000012d836a88c3d0131027a300001026e33000a000003d836a88c3d01",
    "31027a300001026e36000a000006d836a88c3d0131027a300001",
);

/// Runs a fleet of three scopes through a start, a partition, a restart and a departure; passes each datagram
/// and its sender to `observe`.
fn run_recorded_fleet(mut observe: impl FnMut(usize, &[u8])) {
    let mut cluster = Cluster::new(11, 24, 3);
    for milli in 0..30_000 {
        match milli {
            8_000 => cluster.partition = Box::new(|from, to| (from < 9) != (to < 9)),
            12_000 => cluster.partition = Box::new(|_, _| false),
            16_000 => cluster.nodes[5] = cluster.new_node(5, "z2"),
            20_000 => {
                // The node continues to run, as a process does while draining.
                let now = cluster.now;
                cluster.nodes[7].node.leave(now);
                cluster.send_outbox(7);
            }
            _ => {}
        }
        cluster.run_for(MILLI);
        for sent in cluster.recorded_datagrams.drain(..) {
            observe(sent.from, &sent.datagram);
        }
    }
}

fn decode_hex(digits: &str) -> Vec<u8> {
    let byte_at = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
    (0..digits.len()).step_by(2).map(byte_at).collect()
}

#[test]
fn the_recorded_fleet_sends_the_same_datagrams_as_the_previous_release() {
    let mut hasher = Xxh3::new();
    run_recorded_fleet(|from, datagram| {
        hasher.update(&(from as u64).to_be_bytes());
        hasher.update(datagram);
    });
    assert_eq!(format!("{:016x}", hasher.digest()), format!("{DATAGRAMS_HASH:016x}"));
}

/// The state of a node after it has received a datagram.
struct Received {
    members: usize,
    scopes: usize,
    sent: usize,
}

/// A newly started node that receives the recorded datagrams knows their sender and the other scopes,
/// responds to the request and applies the response.
#[test]
fn recorded_datagrams_of_each_kind_are_read() {
    let mut cluster = Cluster::new(11, 24, 3);
    let now = cluster.now;
    let mut reader = cluster.new_node(9, "z0").node;
    let mut receive = |kind: DatagramKind, digits: &str| {
        let datagram = decode_hex(digits);
        assert_eq!(datagram[3], kind as u8);
        reader.take_outbox();
        reader.handle_datagram(now, &datagram);
        assert!(reader.discarded_datagrams().is_empty(), "{kind:?} {:?}", reader.discarded_datagrams());
        Received {
            members: reader.members().size(),
            scopes: reader.scopes().len(),
            sent: reader.take_outbox().len(),
        }
    };
    let members = receive(DatagramKind::Swim, SWIM).members;
    assert!(members > 1, "the sender is a member");
    let scopes = receive(DatagramKind::ScopeGossip, SCOPE_GOSSIP).scopes;
    assert_eq!(scopes, 2, "the other scopes are known");
    let responses = receive(DatagramKind::AntiEntropy, ANTI_ENTROPY_REQUEST).sent;
    assert!(responses > 0, "the request gets a response");
    let grown = receive(DatagramKind::AntiEntropy, ANTI_ENTROPY_RESPONSE).members;
    assert!(grown > members, "{grown} members after the response, {members} before");
}
