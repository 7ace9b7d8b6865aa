//! Tests of the endpoint table.

use super::*;

#[test]
fn endpoints_keep_their_slots_and_free_slots_are_reused() {
    let mut table: EndpointTable<u32> = EndpointTable::default();
    for id in 0..4 {
        let slot = table.slot_or_insert(EndpointId(id));
        table[slot] = id + 10;
    }
    let unchanged = table.slot(EndpointId(3));
    let freed = table.slot_or_insert(EndpointId(1));
    table.remove(EndpointId(1), freed);
    table.remove(EndpointId(0), freed);
    assert_eq!((table.slot(EndpointId(1)), table.slot(EndpointId(3))), (None, unchanged));
    assert_eq!(table.slot(EndpointId(0)), Some(0), "removal with the slot of another endpoint has no effect");
    let slot = table.slot_or_insert(EndpointId(9));
    assert_eq!((table.len(), table[slot]), (4, 0), "the free slot is reused, with a default record");
    assert_eq!(table.slot_or_insert(EndpointId(9)), slot);
    assert_eq!(table.iter().copied().collect::<Vec<_>>(), [10, 0, 12, 13]);
}
