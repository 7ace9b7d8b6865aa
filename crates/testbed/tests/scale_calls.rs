//! The scale test of `calls`: each call passes each hop once and comes back, and nothing is left behind.

use oakport_testbed::cluster::chain::{self, LoadStep, PathResult, SERVERS};
use oakport_testbed::cluster::Program;
use std::path::Path;

fn chain_of(hops: usize) {
    let lab = Path::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    let oakport = lab.with_file_name("oakport");
    assert!(oakport.is_file(), "it is built with the workspace");
    let paces = [LoadStep { rate: 49.0, duration: 2_000_000 }, LoadStep { rate: 245.0, duration: 500_000 }];
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let played = runtime.block_on(chain::run(&Program::oakport(lab, &oakport), hops, &paces, 1));
    let played = played.expect("it is played");
    assert_eq!(played.outcomes.len(), paces.len());
    for outcome in &played.outcomes {
        let (proxies, direct) = (&outcome.proxies, &outcome.direct);
        assert!(proxies.sent > SERVERS, "{proxies:?}");
        assert_eq!(proxies.sent, direct.sent, "the same calls both ways");
        for PathResult { sent: asked, answered, arrivals, arrived_once: once, latencies: times } in
            [proxies, direct]
        {
            assert_eq!((*answered, *once, *arrivals), (*asked, asked * hops, asked * hops), "{asked} asked");
            assert_eq!(times.len(), *asked as u64);
        }
    }
    assert_eq!(played.processes.len(), hops);
    let left = played.processes.iter().filter(|pid| Path::new(&format!("/proc/{pid}")).exists()).count();
    assert_eq!(left, 0, "processes");
}

#[test]
fn each_call_passes_one_hop_once() {
    chain_of(1);
}

#[test]
fn each_call_passes_each_of_four_hops_once() {
    chain_of(4);
}
