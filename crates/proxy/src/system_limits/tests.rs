use super::settable_send_buffer_bytes;

#[test]
fn a_send_buffer_is_set_only_where_that_allows_more_than_the_system_does_by_itself() {
    let adapted_sizes = "4096\t16384\t4194304\n";
    assert_eq!(settable_send_buffer_bytes("4194304\n", adapted_sizes), Some(8_388_608));
    assert_eq!(settable_send_buffer_bytes("212992\n", adapted_sizes), None, "the system grows it further");
    assert_eq!(settable_send_buffer_bytes("2097152\n", adapted_sizes), None, "the system grows it as far");
    for (max_requested, adapted_sizes) in
        [("", adapted_sizes), ("4194304", ""), ("4194304", "1 2"), ("x", "1 2 3")]
    {
        assert_eq!(settable_send_buffer_bytes(max_requested, adapted_sizes), None);
    }
}
