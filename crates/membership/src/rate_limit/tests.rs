use super::*;

/// Sends as much of a datagram as is permitted; false if none of it is.
fn send(rate_limit: &mut RateLimit, now: Micros, priority: SendPriority, bytes: usize) -> bool {
    let permitted = rate_limit.permitted_bytes(now, priority, bytes.min(60), bytes);
    permitted.map(|permitted| rate_limit.consume(permitted)).is_some()
}

/// A member sends five summaries per second to its scope, even when other traffic exceeds the limit: without
/// them, other members would consider a live scope silent after 5 s.
#[test]
fn scope_gossip_is_sent_while_dissemination_exceeds_the_limit() {
    let mut rate_limit = RateLimit::new(0);
    let mut summaries_sent = 0;
    for now in (0..10_000_000).step_by(10_000) {
        // Dissemination uses all that the limit permits.
        while send(&mut rate_limit, now, SendPriority::Dissemination, 1_400) {}
        send(&mut rate_limit, now, SendPriority::FailureDetection, 1_400);
        if now % 200_000 == 0 && send(&mut rate_limit, now, SendPriority::ScopeGossip, 760) {
            summaries_sent += 1;
        }
    }
    assert!(summaries_sent >= 45, "{summaries_sent} of 50 summaries were sent, at least 45 expected");
}

/// No combination of priorities may exceed the limit in any second.
#[test]
fn no_second_exceeds_the_limit() {
    let mut rate_limit = RateLimit::new(0);
    let mut sent = Vec::new();
    let datagrams = [
        (SendPriority::ScopeGossip, 760),
        (SendPriority::Dissemination, 1_400),
        (SendPriority::FailureDetection, 1_400),
    ];
    for now in (0..10_000_000).step_by(1_000) {
        for (priority, bytes) in datagrams {
            let permitted = rate_limit.permitted_bytes(now, priority, bytes.min(60), bytes);
            if let Some(permitted) = permitted {
                rate_limit.consume(permitted);
                sent.push((now, permitted + UDP_IP_HEADER_BYTES));
            }
        }
    }
    for (start, _) in &sent {
        let second = sent.iter().filter(|(at, _)| (*start..start + 1_000_000).contains(at));
        let bytes: usize = second.map(|(_, bytes)| bytes).sum();
        let limit = REFILL_BYTES_PER_SECOND + BURST_BYTES + OVERDRAFT_BYTES;
        assert!(bytes as f64 <= limit, "{bytes} bytes in the second from {start} us, limit {limit}");
    }
}
