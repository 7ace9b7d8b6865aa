//! Goes through what all parties saw: whether the rules were kept, and what the day was worth.

use super::calls::Calls;
use super::clients::SLACK;
use super::cold::Window;
use super::delivery::{Delivery, Given};
use super::membership;
use super::record::{histogram, Late, ListEntry, Observation, ProcessEvent, Shared, Try, TryEnd, TOO_LATE};
use oakport_core::{EndpointState, Micros, Outcome};
use oakport_simulator::scenario::IdempotencySpec;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Seconds of the worst stretch.
const STRETCH: usize = 10;
/// Share of the earlier service that counts as recovered, over three seconds together.
const RECOVERED: f64 = 0.95;
/// Stories that are kept for each rule; all are counted.
const KEPT: usize = 5;
/// A process that went on after a stop is excused for so long.
const AWAKE: Micros = 500_000;

/// The rules, by the names that reports give them.
pub const RULES: [&str; 8] = [
    "one_answer",
    "in_time",
    "answers_of_servers",
    "no_unsafe_repeat",
    "drained",
    "cold",
    "listed",
    "no_crash",
];

/// A second of the day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Worth asked for.
    pub worth: f64,
    /// Worth served within its aim.
    pub served: f64,
    /// Requests, and those whose last try was refused or failed.
    pub asked: u64,
    /// See `asked`.
    pub refused: u64,
    /// See `asked`.
    pub failed: u64,
    /// Worth asked for and served through proxies of each zone.
    pub by_zone: BTreeMap<String, [f64; 2]>,
    /// Worth asked for and served through each proxy.
    pub by_proxy: BTreeMap<usize, [f64; 2]>,
    /// Worth asked for and served of each class.
    pub by_class: BTreeMap<String, [f64; 2]>,
    /// Attempts at servers of each zone, from proxies of their own zone and of others.
    pub attempts: BTreeMap<String, [u64; 2]>,
    /// Answers of each release.
    pub by_release: BTreeMap<String, u64>,
    /// The longest of the answered requests, in milliseconds, their median and their 99th percentile.
    pub latency_ms: [f64; 3],
    /// Connections that servers held.
    pub connections: usize,
}

/// What became of a play.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Flat, with dotted names.
    pub figures: BTreeMap<String, f64>,
    /// How often each rule was broken.
    pub rules: BTreeMap<&'static str, u64>,
    /// The first of them, in words.
    pub stories: Vec<String>,
    /// Each expectation in words, and whether it held.
    pub expect: Vec<(String, bool)>,
    /// The day by seconds.
    pub seconds: Vec<Second>,
    /// Each try with large bodies: how it ended, and what was moved when.
    pub transfers: Vec<String>,
}

impl Verdict {
    /// The rig itself was too late to judge.
    pub fn too_late(&self) -> bool {
        self.figures.get("rig.late_p99_ms").is_none_or(|late| late * 1e3 > TOO_LATE as f64)
    }

    /// Rules and expectations held.
    pub fn holds(&self) -> bool {
        self.rules.values().all(|broken| *broken == 0) && self.expect.iter().all(|(_, held)| *held)
    }
}

/// An attempt at a cold server.
struct Chilled {
    at: Micros,
    attempt: u64,
    bound: f64,
}

/// What came to cold servers, against what they bear.
#[derive(Default)]
struct Coldness {
    /// The most that came from proxies which had been told of the start, of what the server bore then.
    most: f64,
    /// Servers that fell, whoever sent.
    falls: u64,
}

struct Attempt {
    request: usize,
    number: u32,
    server: usize,
    first: Micros,
    complete: Micros,
    outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.outcome != Some(Outcome::Rejected)
    }
}

/// What was seen, by who saw it.
struct Evidence<'a> {
    shared: &'a Shared,
    zones: Vec<usize>,
    attempts: HashMap<u64, Attempt>,
    tries: Vec<Try>,
    done: Vec<(usize, Micros, TryEnd)>,
    told: HashMap<(usize, usize), Vec<(Micros, EndpointState)>>,
    /// Since when a proxy has known of a server's process, by when that started.
    starts: HashMap<(usize, usize, Micros), Micros>,
    /// What came to servers while they were cold, by server and start.
    chilled: BTreeMap<(usize, Micros), Vec<Chilled>>,
    coldness: Coldness,
    /// How long after that was told the last attempt of a proxy went to a server that left.
    after_told: BTreeMap<(usize, usize), Micros>,
    list_calls: Calls,
    delivery: Delivery,
    signals: HashMap<usize, Vec<(Micros, ProcessEvent)>>,
    rules: BTreeMap<&'static str, u64>,
    stories: Vec<String>,
    wasted: f64,
    connections: Vec<(Micros, usize)>,
    views: membership::Views,
    late: Late,
    /// Answers that came too late while the rig itself was.
    unjudged: u64,
}

/// Judges a play. `servers` gives the zone and the release of each server.
pub fn judge(shared: &Shared, servers: &[(usize, String)]) -> Verdict {
    let (seen, late) = shared.close();
    let mut evidence = Evidence {
        shared,
        zones: servers.iter().map(|(zone, _)| *zone).collect(),
        attempts: HashMap::new(),
        tries: Vec::new(),
        done: Vec::new(),
        told: HashMap::new(),
        starts: HashMap::new(),
        chilled: BTreeMap::new(),
        coldness: Coldness::default(),
        after_told: BTreeMap::new(),
        list_calls: Calls::default(),
        delivery: Delivery::default(),
        signals: HashMap::new(),
        rules: RULES.map(|rule| (rule, 0)).into(),
        stories: Vec::new(),
        wasted: 0.0,
        connections: Vec::new(),
        views: Vec::new(),
        late,
        unjudged: 0,
    };
    let mut later = Vec::new();
    for seen in seen {
        evidence.sort(seen, &mut later);
    }
    // What a silent watch misses is noted ahead of when it counts.
    evidence.told.values_mut().for_each(|told| told.sort_by_key(|(at, _)| *at));
    for (rule, at, story) in later {
        evidence.broke(rule, at, story);
    }
    evidence.answers();
    evidence.repeats();
    evidence.places();
    evidence.cold();
    let (figures, seconds) = evidence.figures(servers);
    let transfers = evidence.transfers();
    let (rules, stories) = (evidence.rules, evidence.stories);
    let mut expect = Vec::new();
    for wanted in &shared.day.expectations {
        let found = figures.get(&wanted.figure).copied();
        let held =
            found.is_some_and(|f| wanted.min.is_none_or(|l| f >= l) && wanted.max.is_none_or(|m| f <= m));
        let bound = |word: &str, bound: Option<f64>| bound.map_or(String::new(), |b| format!(" {word} {b}"));
        let found = found.map_or("no such figure".to_owned(), |found| format!("{found:.4}"));
        let (least, most) = (bound("at least", wanted.min), bound("at most", wanted.max));
        expect.push((format!("{}{least}{most}: {found}", wanted.figure), held));
    }
    Verdict { figures, rules, stories, expect, seconds, transfers }
}

impl Evidence<'_> {
    fn sort(&mut self, seen: Observation, later: &mut Vec<(&'static str, Micros, String)>) {
        match seen {
            Observation::AttemptArrived { attempt, request, number, server, first, complete } => {
                let arrived = Attempt { request, number, server, first, complete, outcome: None };
                self.attempts.insert(attempt, arrived);
            }
            Observation::AttemptEnded { attempt, outcome, wasted } => {
                if let Some(attempt) = self.attempts.get_mut(&attempt) {
                    attempt.outcome = Some(outcome);
                }
                self.wasted += wasted;
            }
            Observation::ColdArrival { attempt, server, started, at, bound } => {
                self.chilled.entry((server, started)).or_default().push(Chilled { at, attempt, bound });
            }
            Observation::ResponseWritten { attempt, at, bytes, length } => {
                self.delivery.gave(attempt, Given { at, bytes, length });
            }
            Observation::ConnectionReset { attempt, at } => self.delivery.broke_off(attempt, at),
            Observation::PredecessorSignaled { proxy, at, is_killed } => {
                self.delivery.ended(proxy, at, is_killed)
            }
            Observation::TryEnded(done) => self.tries.push(done),
            Observation::RequestEnded { request, at, end } => self.done.push((request, at, end)),
            Observation::UnsolicitedResponse { proxy, at } => {
                later.push(("one_answer", at, format!("proxy {proxy} answered what nobody had asked")));
            }
            Observation::ListSent { proxy, at, entries } => {
                for ListEntry { server, state, started } in entries {
                    self.told.entry((proxy, server)).or_default().push((at, state));
                    let since = self.starts.entry((proxy, server, started)).or_insert(at);
                    *since = at.min(*since);
                }
            }
            Observation::ListRequested { proxy, at } => self.list_calls.asked.push((proxy, at)),
            Observation::ListAnswered { proxy, at } => self.list_calls.answered.push((proxy, at)),
            Observation::Process { proxy, at, event } => {
                if event == ProcessEvent::Crashed {
                    later.push(("no_crash", at, format!("proxy {proxy} ended by itself")));
                }
                if matches!(event, ProcessEvent::TermSent | ProcessEvent::KilledAfterTerm) {
                    self.delivery.ended(proxy, at, event == ProcessEvent::KilledAfterTerm);
                }
                self.signals.entry(proxy).or_default().push((at, event));
            }
            Observation::PeerView { proxy, at, view } => self.views.push((at, proxy, view)),
            Observation::OpenConnections { at, open } => self.connections.push((at, open)),
        }
    }

    fn broke(&mut self, rule: &'static str, at: Micros, story: String) {
        let count = self.rules.entry(rule).or_default();
        *count += 1;
        if *count <= KEPT as u64 {
            let at = at as f64 - self.shared.at(0) as f64;
            self.stories.push(format!("{:.3} s: {rule}: {story}", at / 1e6));
        }
    }

    /// Was the process of a proxy killed in this span, had it crashed, or was there none at its beginning? A kill of one
    /// that was told to end excuses nothing: it comes when all that was taken must have been answered.
    fn killed(&self, proxy: usize, from: Micros, to: Micros) -> bool {
        let unannounced = |what: &ProcessEvent| matches!(what, ProcessEvent::Killed | ProcessEvent::Crashed);
        let ends = |what: &ProcessEvent| unannounced(what) || *what == ProcessEvent::KilledAfterTerm;
        let signals = || self.signals.get(&proxy).into_iter().flatten();
        let within = signals().any(|(at, what)| unannounced(what) && (from..=to).contains(at));
        // Where the rig holds the listener, connections come up while no process is there.
        let before =
            signals().rev().find(|(at, what)| *at <= from && (ends(what) || *what == ProcessEvent::Started));
        within || before.is_some_and(|(_, what)| ends(what))
    }

    /// Time of this span in which the process of a proxy stood still, or had just gone on.
    fn stalled(&self, proxy: usize, from: Micros, to: Micros) -> Micros {
        let (mut since, mut sum) = (None, 0);
        let mut count = |a: Micros, b: Micros| sum += b.min(to).saturating_sub(a.max(from));
        for (at, what) in self.signals.get(&proxy).into_iter().flatten() {
            match what {
                ProcessEvent::Stopped => since = Some(*at),
                ProcessEvent::Continued => {
                    if let Some(since) = since.take() {
                        count(since, at + AWAKE);
                    }
                }
                _ => {}
            }
        }
        if let Some(since) = since {
            count(since, to);
        }
        sum
    }

    /// Each request that a proxy has taken is answered once, in time, with what a server made for it. One whose last byte was
    /// not written ended at the door and is counted alone, as is one whose endpoint broke off its response.
    fn answers(&mut self) {
        /// What ends when a process is killed is seen by its client so much later.
        const SEEN_LATER: Micros = 200_000;
        let mut arrived: HashMap<(usize, u32), Micros> = HashMap::new();
        for (number, attempt) in &self.attempts {
            self.delivery.came(*number, (attempt.request, attempt.number));
            let first = arrived.entry((attempt.request, attempt.number)).or_insert(attempt.complete);
            *first = attempt.complete.min(*first);
        }
        for done in std::mem::take(&mut self.tries) {
            let proxy = self.shared.arrivals[done.request].proxy;
            let name = format!("request {}, try {}, proxy {proxy}", done.request, done.number);
            let excused = self.killed(proxy, done.sent.saturating_sub(SEEN_LATER), done.ended + SEEN_LATER)
                || self.stalled(proxy, done.sent, done.ended) > 0;
            let arrived = arrived.get(&(done.request, done.number)).copied();
            let lost = match done.end {
                TryEnd::Lost => true,
                // The first connection was no idle one that closed: the proxy had taken the request.
                _ => done.again.is_some_and(|again| arrived.is_some_and(|at| at < again)),
            };
            // The machine stood still around the deadline: who was late cannot be told.
            let rig_late =
                || self.late.spans.iter().any(|(from, to)| *from <= done.ended && *to >= done.deadline);
            let too_late = match done.end {
                TryEnd::Served(_) | TryEnd::Refused(_) | TryEnd::Failed(_) => {
                    // The time of a request that was refused before its last byte has not begun.
                    done.is_written && done.moved.first.unwrap_or(done.ended) > done.deadline + SLACK
                }
                end => end == TryEnd::Silent,
            };
            match done.end {
                _ if excused => {}
                _ if too_late && rig_late() => self.unjudged += 1,
                TryEnd::Lost if !done.is_written => self.delivery.unwritten += 1,
                TryEnd::Lost | TryEnd::HeldBack if self.delivery.is_broken_off(&done) => {
                    self.delivery.excused += 1;
                }
                TryEnd::HeldBack => {
                    let trace = self.delivery.trace(self.shared, &done);
                    let story = format!("{name}: the rest of its answer was held back for 2 s{trace}");
                    self.broke("one_answer", done.ended, story);
                }
                _ if lost => {
                    let trace = self.delivery.trace(self.shared, &done);
                    let story = format!("{name}: its connection ended without a whole answer{trace}");
                    self.broke("one_answer", done.ended, story);
                }
                TryEnd::Silent => {
                    self.broke("in_time", done.ended, format!("{name}: no answer by its deadline and 50 ms"));
                }
                TryEnd::Foreign => {
                    let story = format!("{name}: its answer is none that a server made for it");
                    self.broke("answers_of_servers", done.ended, story);
                }
                _ if too_late => {
                    self.broke(
                        "in_time",
                        done.ended,
                        format!("{name}: answered after its deadline and 50 ms"),
                    );
                }
                _ => {}
            }
            self.tries.push(done);
        }
    }

    /// Each try with large bodies, in words.
    fn transfers(&self) -> Vec<String> {
        let large = self.tries.iter().filter(|done| self.shared.transfer(done.request).is_some());
        let told = |done: &Try| {
            let proxy = self.shared.arrivals[done.request].proxy;
            let trace = self.delivery.trace(self.shared, done);
            format!("request {}, try {}, proxy {proxy}: {:?}{trace}", done.request, done.number, done.end)
        };
        large.map(told).collect()
    }

    /// What may have run is not sent again, nor refused, unless its class permits.
    fn repeats(&mut self) {
        // What a client sent again because its connection had ended is told by `answers`.
        let agains = self.tries.iter().filter_map(|done| Some(((done.request, done.number), done.again?)));
        let agains: HashMap<(usize, u32), Micros> = agains.collect();
        let mut by_request: HashMap<usize, Vec<&Attempt>> = HashMap::new();
        for attempt in self.attempts.values() {
            let again = agains.get(&(attempt.request, attempt.number));
            if again.is_some_and(|again| attempt.complete < *again) {
                continue;
            }
            let class = &self.shared.day.classes[self.shared.arrivals[attempt.request].class];
            if class.idempotency == IdempotencySpec::NonIdempotent && attempt.may_have_run() {
                by_request.entry(attempt.request).or_default().push(attempt);
            }
        }
        let mut found = Vec::new();
        for (request, ran) in &by_request {
            if let [one, another, ..] = ran.as_slice() {
                let story = format!(
                    "request {request}: may have run at servers {} and {}, {} times in all",
                    one.server,
                    another.server,
                    ran.len()
                );
                found.push((one.complete.max(another.complete), story));
            }
        }
        for done in self.tries.iter().filter(|done| matches!(done.end, TryEnd::Refused(_))) {
            let ran = by_request.get(&done.request).into_iter().flatten().find(|a| a.number == done.number);
            if let Some(ran) = ran {
                let story =
                    format!("request {}: refused, but may have run at server {}", done.request, ran.server);
                found.push((done.ended, story));
            }
        }
        found.sort();
        for (at, story) in found {
            self.broke("no_unsafe_repeat", at, story);
        }
    }

    /// Nothing goes where the list did not name a server, or goes on past its drain window.
    fn places(&mut self) {
        let grace = self.shared.day.discovery.drain_grace + SLACK;
        let mut found = Vec::new();
        let left =
            self.told.iter().filter(|(_, told)| told.iter().any(|(_, state)| *state != EndpointState::Ready));
        self.after_told = left.map(|(pair, _)| (*pair, 0)).collect();
        for attempt in self.attempts.values() {
            let proxy = self.shared.arrivals[attempt.request].proxy;
            let told = self.told.get(&(proxy, attempt.server)).map_or(&[][..], Vec::as_slice);
            let before = &told[..told.partition_point(|(at, _)| *at <= attempt.first)];
            let name = format!("request {}, proxy {proxy}, server {}", attempt.request, attempt.server);
            if before.is_empty() {
                found.push((attempt.first, "listed", format!("{name}: the list had not named it")));
                continue;
            }
            // Since when it has been drained or gone without a word that it is back.
            let ready = before.iter().rposition(|(_, state)| *state == EndpointState::Ready);
            let since = before.get(ready.map_or(0, |ready| ready + 1)).map(|(at, _)| *at);
            let late = since.map(|since| {
                (attempt.first - since).saturating_sub(self.stalled(proxy, since, attempt.first))
            });
            if let (Some(late), Some(most)) = (late, self.after_told.get_mut(&(proxy, attempt.server))) {
                *most = late.max(*most);
            }
            if let Some(late) = late.filter(|late| *late > grace) {
                let story =
                    format!("{name}: {:.3} s after word that it drains or is gone", late as f64 / 1e6);
                found.push((attempt.first, "drained", story));
            }
        }
        found.sort();
        for (at, rule, story) in found {
            self.broke(rule, at, story);
        }
    }

    /// No cold server is pushed over by those that know that it is cold.
    fn cold(&mut self) {
        /// A fall is theirs of which more than this share came from them.
        const THEIRS: f64 = 2.0 / 3.0;
        let (span, mut found) = (self.shared.day.server.cold_overload_window, Vec::new());
        for ((server, started), all) in &self.chilled {
            let mut window = Window::default();
            for Chilled { at, attempt, bound } in all {
                let told = self.attempts.get(attempt).is_some_and(|attempt| {
                    let proxy = self.shared.arrivals[attempt.request].proxy;
                    let since = self.starts.get(&(proxy, *server, *started));
                    since.is_some_and(|since| *since <= attempt.first)
                });
                let (came, by_told) =
                    window.push(*at, told, span).fold((0, 0), |(n, t), told| (n + 1, t + u32::from(*told)));
                let (came, by_told) = (f64::from(came), f64::from(by_told));
                self.coldness.most = self.coldness.most.max(by_told / bound);
                if came <= *bound {
                    continue;
                }
                self.coldness.falls += 1;
                if by_told > came * THEIRS {
                    let story = format!(
                        "server {server}, up for {:.1} s, got {came} requests, {by_told} of them from proxies that \
                         knew of its start; it bears {bound:.0}",
                        (at - started) as f64 / 1e6
                    );
                    found.push((*at, story));
                }
            }
        }
        found.sort();
        for (at, story) in found {
            self.broke("cold", at, story);
        }
    }

    fn figures(&self, servers: &[(usize, String)]) -> (BTreeMap<String, f64>, Vec<Second>) {
        let (day, arrivals) = (&self.shared.day, &self.shared.arrivals);
        let start = self.shared.at(0);
        let count = day.duration.div_ceil(1_000_000) as usize;
        let mut seconds = vec![Second::default(); count];
        let place = |at: Micros| ((at / 1_000_000) as usize).min(count - 1);
        for arrival in arrivals {
            let (class, second) = (&day.classes[arrival.class], &mut seconds[place(arrival.at)]);
            second.asked += 1;
            second.worth += class.priority_weight;
            let zone = day.zones[self.shared.zone(arrival.proxy)].clone();
            second.by_zone.entry(zone).or_default()[0] += class.priority_weight;
            second.by_proxy.entry(arrival.proxy).or_default()[0] += class.priority_weight;
            second.by_class.entry(class.name.clone()).or_default()[0] += class.priority_weight;
        }
        let (mut all, mut each) = (histogram(), vec![histogram(); count]);
        let mut ends = [0u64; 4];
        for &(request, at, end) in &self.done {
            let arrival = &arrivals[request];
            let (class, second) = (&day.classes[arrival.class], &mut seconds[place(arrival.at)]);
            let took = at.saturating_sub(start + arrival.at).max(1);
            match end {
                TryEnd::Served(server) => {
                    all.saturating_record(took);
                    each[place(arrival.at)].saturating_record(took);
                    let release = servers.get(server).map_or("", |(_, release)| release);
                    *second.by_release.entry(release.to_owned()).or_default() += 1;
                    if took > class.latency_objective {
                        ends[0] += 1;
                        continue;
                    }
                    second.served += class.priority_weight;
                    let zone = &day.zones[self.shared.zone(arrival.proxy)];
                    second.by_zone.entry(zone.clone()).or_default()[1] += class.priority_weight;
                    second.by_proxy.entry(arrival.proxy).or_default()[1] += class.priority_weight;
                    second.by_class.entry(class.name.clone()).or_default()[1] += class.priority_weight;
                }
                TryEnd::Refused(_) => {
                    ends[1] += 1;
                    second.refused += 1;
                }
                TryEnd::Unreachable => {
                    ends[3] += 1;
                    second.failed += 1;
                }
                _ => {
                    ends[2] += 1;
                    second.failed += 1;
                }
            }
        }
        let mut crossings = 0;
        for attempt in self.attempts.values() {
            // A server that no list names has no zone.
            let Some(&zone) = self.zones.get(attempt.server) else { continue };
            let own = zone == self.shared.zone(arrivals[attempt.request].proxy);
            crossings += u64::from(!own);
            let second = &mut seconds[place(attempt.first.saturating_sub(start))];
            let zone = day.zones[zone].clone();
            second.attempts.entry(zone).or_default()[usize::from(!own)] += 1;
        }
        for (at, open) in &self.connections {
            seconds[place(at.saturating_sub(start))].connections = *open;
        }
        for (second, own) in seconds.iter_mut().zip(&each) {
            second.latency_ms = [1.0, 0.5, 0.99].map(|q| own.value_at_quantile(q) as f64 / 1e3);
        }
        let mut figures = BTreeMap::new();
        let mut put = |name: &str, value: f64| {
            figures.insert(name.to_owned(), value);
        };
        let requests = arrivals.len().max(1) as f64;
        put("requests", arrivals.len() as f64);
        put("served.worth", share(&seconds));
        let worst = seconds.windows(STRETCH.min(count)).map(share).fold(1.0, f64::min);
        put("served.worst_10s", worst);
        let mut parts: BTreeMap<String, [f64; 2]> = BTreeMap::new();
        for second in &seconds {
            let zones = second.by_zone.iter().map(|(name, part)| (format!("served.zone.{name}"), part));
            let classes = second.by_class.iter().map(|(name, part)| (format!("served.class.{name}"), part));
            for (name, [asked, served]) in zones.chain(classes) {
                let sum = parts.entry(name).or_default();
                *sum = [sum[0] + asked, sum[1] + served];
            }
        }
        for (name, [asked, served]) in &parts {
            put(name, served / asked.max(f64::MIN_POSITIVE));
        }
        for (name, count) in ["late", "refused", "failed", "unreachable"].iter().zip(ends) {
            put(&format!("share.{name}"), count as f64 / requests);
        }
        for (name, q) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
            put(&format!("latency.{name}_ms"), all.value_at_quantile(q) as f64 / 1e3);
        }
        let attempts = self.attempts.len().max(1) as f64;
        put("attempts.per_request", self.attempts.len() as f64 / requests);
        put("zones.cross_share", crossings as f64 / attempts);
        let asked: f64 = arrivals.iter().map(|a| a.work).sum();
        put("work.wasted_share", self.wasted / asked.max(1.0));
        put("connections.most", self.connections.iter().map(|(_, open)| *open).max().unwrap_or(0) as f64);
        if let Some(recover) = self.recover(&seconds) {
            put("recover.s", recover as f64);
        }
        let mut after: Vec<Micros> = self.after_told.values().copied().collect();
        after.sort_unstable();
        let quantile =
            |q: f64| after.get(((after.len() as f64 * q) as usize).min(after.len().saturating_sub(1)));
        for (name, q) in [("p50", 0.5), ("p99", 0.99), ("most", 1.0)] {
            if let Some(&after) = quantile(q) {
                put(&format!("list.told_to_last_{name}_ms"), after as f64 / 1e3);
            }
        }
        put("cold.servers", self.chilled.len() as f64);
        put("cold.falls", self.coldness.falls as f64);
        put("cold.most_share_of_bound", self.coldness.most);
        put("list.calls_per_proxy", self.list_calls.asked.len() as f64 / day.balancers as f64);
        self.list_calls.figures(self.shared).iter().for_each(|(name, value)| put(name, *value));
        put("rig.late_p99_ms", self.late.by.value_at_quantile(0.99) as f64 / 1e3);
        put("rig.unjudged", self.unjudged as f64);
        put("transfers.unwritten", self.delivery.unwritten as f64);
        put("transfers.broken_off", self.delivery.excused as f64);
        put("rig.late_max_ms", self.late.by.max() as f64 / 1e3);
        let end = start + day.duration;
        let membership = membership::figures(self.shared, &self.views, &self.signals, end);
        membership.iter().for_each(|(name, value)| put(name, *value));
        for (rule, broken) in &self.rules {
            put(&format!("rules.{rule}"), *broken as f64);
        }
        (figures, seconds)
    }

    /// Seconds from the end of the last event until three together are served nearly as well as before the first.
    fn recover(&self, seconds: &[Second]) -> Option<usize> {
        let events = &self.shared.day.events;
        let second = |at: Micros| ((at / 1_000_000) as usize).min(seconds.len());
        let first = events.iter().map(|e| second(e.at)).min()?;
        let last = events.iter().map(|e| second(e.at + e.duration)).max()?;
        let usual = share(&seconds[..first]) * RECOVERED;
        seconds[last..].windows(3).position(|three| share(three) >= usual)
    }
}

fn share(seconds: &[Second]) -> f64 {
    let (worth, served) =
        seconds.iter().fold((0.0, 0.0), |(w, s), second| (w + second.worth, s + second.served));
    if worth > 0.0 {
        served / worth
    } else {
        1.0
    }
}
