//! Tests of the endpoint table.

use super::*;

#[test]
fn slots_stay_the_same_and_free_ones_are_reused() {
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
    assert_eq!(table.slot(EndpointId(0)), Some(0), "a slot of another endpoint is not freed");
    let slot = table.slot_or_insert(EndpointId(9));
    assert_eq!((table.len(), table[slot]), (4, 0), "the free slot, with a default record");
    assert_eq!(table.slot_or_insert(EndpointId(9)), slot);
    assert_eq!(table.iter().copied().collect::<Vec<_>>(), [10, 0, 12, 13]);
}
