use super::*;

#[test]
fn a_timeout_is_a_positive_number_of_milliseconds_or_microseconds() {
    assert_eq!(parse_timeout_us("900m"), Some(900_000));
    assert_eq!(parse_timeout_us(" 250u "), Some(250));
    assert_eq!(parse_timeout_us("99999999m"), Some(MAX_CLIENT_TIMEOUT_US));
    for invalid in ["", "m", "0m", "900", "900s", "-1m", "+1m", "1.5m", "900 m", "99999999999999999999m"] {
        assert_eq!(parse_timeout_us(invalid), None, "{invalid}");
    }
}
