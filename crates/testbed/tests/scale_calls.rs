//! The scale test's role `calls`: each call passes each hop once and is answered, and no process is left
//! behind.

use oakport_testbed::cluster::chain::{self, LoadStep, PathResult, SERVERS};
use oakport_testbed::cluster::Program;
use std::path::Path;

fn check_chain(hops: usize) {
    let testbed = Path::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    let oakport = testbed.with_file_name("oakport");
    assert!(oakport.is_file(), "oakport is built with the workspace");
    let steps = [LoadStep { rate: 49.0, duration: 2_000_000 }, LoadStep { rate: 245.0, duration: 500_000 }];
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let result = runtime.block_on(chain::run(&Program::oakport(testbed, &oakport), hops, &steps, 1));
    let result = result.expect("the measurement succeeds");
    assert_eq!(result.outcomes.len(), steps.len());
    for outcome in &result.outcomes {
        let (proxies, direct) = (&outcome.proxies, &outcome.direct);
        assert!(proxies.sent > SERVERS, "{proxies:?}");
        assert_eq!(proxies.sent, direct.sent, "the same calls with and without proxies");
        for PathResult { sent, answered, arrivals, arrived_once, latencies } in [proxies, direct] {
            assert_eq!(
                (*answered, *arrived_once, *arrivals),
                (*sent, sent * hops, sent * hops),
                "{sent} calls"
            );
            assert_eq!(latencies.len(), *sent as u64);
        }
    }
    assert_eq!(result.processes.len(), hops);
    let left = result.processes.iter().filter(|pid| Path::new(&format!("/proc/{pid}")).exists()).count();
    assert_eq!(left, 0, "processes are left");
}

#[test]
fn each_call_passes_one_hop_once() {
    check_chain(1);
}

#[test]
fn each_call_passes_each_of_four_hops_once() {
    check_chain(4);
}
