use super::{parse_send_buffer_limits, SendBufferLimits};

#[test]
fn a_program_can_set_twice_the_size_that_it_may_request() {
    let autotuned_sizes = "4096\t16384\t4194304\n";
    for (max_requested, max_settable_bytes) in [("4194304\n", 8_388_608), ("212992\n", 425_984)] {
        let expected = SendBufferLimits { max_adapted_bytes: 4_194_304, max_settable_bytes };
        assert_eq!(parse_send_buffer_limits(max_requested, autotuned_sizes), Some(expected));
    }
}

#[test]
fn limits_that_cannot_be_read_are_unknown() {
    let autotuned_sizes = "4096 16384 4194304";
    for (max_requested, autotuned_sizes) in
        [("", autotuned_sizes), ("4194304", ""), ("4194304", "1 2"), ("x", "1 2 3")]
    {
        assert_eq!(parse_send_buffer_limits(max_requested, autotuned_sizes), None);
    }
}
