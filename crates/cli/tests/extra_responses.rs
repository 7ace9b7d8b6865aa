//! Endpoints that send more than one response to a request. An extra response answers no other request, and the proxy
//! stops reusing the connections of an endpoint that has sent one.

mod peers;

use peers::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Longer than a connection of an endpoint that is not yet trusted is observed.
const AFTER_OBSERVATION: Duration = Duration::from_millis(80);
/// Longer than the reuse cooldown, and shorter than the observation.
const AFTER_COOLDOWN: Duration = Duration::from_millis(15);

/// An endpoint that lets the test write to its connections at any time.
struct ScriptedEndpoint {
    address: SocketAddr,
    /// The connections in the order of their requests, each with the text of its request's head.
    requests: Receiver<(TcpStream, String)>,
    opened: Arc<AtomicUsize>,
}

impl ScriptedEndpoint {
    fn start() -> ScriptedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (sender, requests) = channel();
        let opened = Arc::new(AtomicUsize::new(0));
        let opened_count = Arc::clone(&opened);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                opened_count.fetch_add(1, Ordering::SeqCst);
                let sender: Sender<(TcpStream, String)> = sender.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
                    while let Some(message) = read(&mut reader) {
                        let writer = stream.try_clone().expect("a descriptor");
                        if sender.send((writer, message.head)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        ScriptedEndpoint { address, requests, opened }
    }

    fn next_request(&self) -> TcpStream {
        self.requests.recv_timeout(LONG).expect("a request at the endpoint").0
    }

    fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }
}

fn configuration(discovery: &Discovery, address: SocketAddr) -> String {
    let listen = "127.0.0.1:0".parse().expect("an address");
    let known = [entry("s-1", address, "up", 0)];
    config(listen, discovery.address, 1_024, &known).replacen('{', r#"{"operator":"127.0.0.1:0","#, 1)
}

fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("an open connection");
}

fn right() -> String {
    answer("200 OK", "", "right")
}

fn wrong() -> String {
    answer("200 OK", "", "wrong")
}

/// Sends one request and has the endpoint answer it; returns the connection that carried it.
fn call(client: &mut Client, endpoint: &ScriptedEndpoint) -> TcpStream {
    client.send("unsafe", "3000m");
    let mut connection = endpoint.next_request();
    write(&mut connection, &right());
    assert_served(client);
    connection
}

fn assert_served(client: &mut Client) {
    let response = client.answer().expect("a response");
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"right"[..]));
}

/// Whether the proxy has closed this connection.
fn is_closed(mut connection: TcpStream) -> bool {
    connection.set_read_timeout(Some(LONG)).expect("a time-out");
    matches!(connection.read(&mut [0; 9]), Ok(0))
        || connection.take_error().is_ok_and(|error| error.is_some())
}

/// How often the proxy has received unsolicited data.
fn unsolicited_count(admin: SocketAddr) -> u64 {
    metrics(admin)["connections"]["unsolicited"].as_u64().expect("a count")
}

/// An endpoint, the proxy before it and a client of that.
struct Setup {
    endpoint: ScriptedEndpoint,
    _discovery: Discovery,
    text: String,
    proxy: Proxy,
    admin: SocketAddr,
    client: Client,
}

impl Setup {
    fn start() -> Setup {
        let endpoint = ScriptedEndpoint::start();
        let discovery = Discovery::start();
        let text = configuration(&discovery, endpoint.address);
        let mut proxy = Proxy::with(&text);
        let admin = proxy.admin_address();
        let client = proxy.client();
        Setup { endpoint, _discovery: discovery, text, proxy, admin, client }
    }

    fn call(&mut self) -> TcpStream {
        call(&mut self.client, &self.endpoint)
    }

    /// A call whose response the endpoint follows by another.
    fn call_with_extra_response(&mut self) {
        let mut connection = self.call();
        write(&mut connection, &wrong());
    }

    /// Sends a request while the last connection, idle since its response, receives an extra one after the cooldown.
    fn call_before_extra_response(&mut self, mut last: TcpStream) {
        self.client.send("unsafe", "3000m");
        thread::sleep(AFTER_COOLDOWN);
        write(&mut last, &wrong());
        let mut other = self.endpoint.next_request();
        write(&mut other, &right());
        assert_served(&mut self.client);
    }
}

/// The endpoint's extra response comes well after the reuse cooldown, on the first connection that it was given.
#[test]
fn a_first_extra_response_after_the_cooldown_answers_no_other_request() {
    let mut setup = Setup::start();
    let first = setup.call();
    setup.call_before_extra_response(first);
    assert_eq!(setup.endpoint.opened(), 2);
}

/// Once it has sent two extra responses in a row, each of its connections carries one request only.
#[test]
fn connections_of_an_endpoint_that_sends_extra_responses_are_not_reused() {
    let mut setup = Setup::start();
    setup.call_with_extra_response();
    setup.call_with_extra_response();
    for number in 3..7 {
        let connection = setup.call();
        assert_eq!(setup.endpoint.opened(), number, "a connection of its own");
        assert!(is_closed(connection), "closed after its response");
        thread::sleep(AFTER_OBSERVATION);
    }
    assert_eq!(unsolicited_count(setup.admin), 2);
}

/// One extra response of an endpoint that was trusted: its connections are observed again before each reuse, though
/// one has stayed silent meanwhile.
#[test]
fn connections_of_an_endpoint_that_sent_one_extra_response_are_observed() {
    let mut setup = Setup::start();
    setup.call();
    thread::sleep(AFTER_OBSERVATION);
    setup.call_with_extra_response();
    setup.call();
    thread::sleep(AFTER_OBSERVATION);
    let observed = setup.call();
    assert_eq!(setup.endpoint.opened(), 2);
    setup.call_before_extra_response(observed);
    assert_eq!(setup.endpoint.opened(), 3);
}

/// Where an extra response, or a part of it, may stand after the first one.
#[test]
fn an_extra_response_in_any_form_answers_no_other_request_and_is_recognised() {
    let informational = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\n\r\n";
    let wrong = wrong();
    let (first_half, second_half) = wrong.split_at(wrong.len() / 2);
    let forms = [
        ("in the same segment", right() + &wrong, "", ""),
        ("in the same segment as the last chunk", chunked.to_owned() + &wrong, "", ""),
        ("half of it in the same segment", right() + first_half, second_half, ""),
        ("later", right(), &wrong, ""),
        ("later, after an informational one", informational.to_owned() + &right(), &wrong, ""),
        ("later, in halves", right(), first_half, second_half),
        ("later, one byte", right(), "H", ""),
        ("an informational one", right(), informational, ""),
    ];
    for (name, at_once, later, last) in forms {
        let mut setup = Setup::start();
        setup.client.send("unsafe", "3000m");
        let mut connection = setup.endpoint.next_request();
        write(&mut connection, &at_once);
        assert_served(&mut setup.client);
        // The proxy may have closed it meanwhile.
        let _ = connection.write_all(later.as_bytes());
        setup.client.send("unsafe", "3000m");
        let _ = connection.write_all(last.as_bytes());
        let mut second = setup.endpoint.next_request();
        write(&mut second, &right());
        assert_served(&mut setup.client);
        assert_eq!(unsolicited_count(setup.admin), 1, "{name}");
        assert_eq!(setup.endpoint.opened(), 2, "{name}");
    }
}

/// A distrust outlasts a reload.
#[test]
fn a_reload_does_not_restore_the_reuse_of_connections() {
    let mut setup = Setup::start();
    setup.call_with_extra_response();
    setup.call_with_extra_response();
    setup.call();
    assert_eq!(unsolicited_count(setup.admin), 2);
    setup.proxy.reload(&setup.text.replace(r#""max_attempts":3"#, r#""max_attempts":2"#));
    setup.proxy.expect_log("reload", "");
    for number in 4..6 {
        assert!(is_closed(setup.call()));
        assert_eq!(setup.endpoint.opened(), number);
        thread::sleep(AFTER_OBSERVATION);
    }
}

/// A successor has no connections, and knows nothing of the endpoint: it observes it anew.
#[test]
fn a_successor_observes_endpoints_anew() {
    let endpoint = ScriptedEndpoint::start();
    let discovery = Discovery::start();
    let platform = Platform::new();
    let text = configuration(&discovery, endpoint.address);
    let mut predecessor = platform.start(&text);
    let mut client = predecessor.client();
    call(&mut client, &endpoint);
    thread::sleep(AFTER_OBSERVATION);
    call(&mut client, &endpoint);
    predecessor.terminate();
    drop(client);
    assert!(predecessor.exits_successfully());
    let mut successor = platform.start(&text);
    let admin = successor.admin_address();
    let client = successor.client();
    let mut setup = Setup { endpoint, _discovery: discovery, text, proxy: successor, admin, client };
    let first = setup.call();
    setup.call_before_extra_response(first);
    assert_eq!(setup.endpoint.opened(), 3);
}

/// An attempt whose time is up is abandoned with its connection: what the endpoint still answers there reaches nobody.
#[test]
fn the_response_to_an_abandoned_attempt_answers_no_other_request() {
    let mut setup = Setup::start();
    drop(setup.call());
    thread::sleep(AFTER_OBSERVATION);
    setup.client.send("unsafe", "60m");
    let mut abandoned = setup.endpoint.next_request();
    let status = setup.client.answer().expect("a response").status();
    assert_ne!(status, 200);
    let _ = abandoned.write_all(wrong().as_bytes());
    for _ in 0..3 {
        setup.call();
        thread::sleep(AFTER_COOLDOWN);
    }
}

/// An endpoint that stays silent after its responses keeps its connection, and calls soon wait for the cooldown only.
#[test]
fn an_endpoint_without_extra_responses_keeps_its_connection() {
    let mut setup = Setup::start();
    for _ in 0..5 {
        setup.call();
    }
    assert_eq!((setup.endpoint.opened(), unsolicited_count(setup.admin)), (1, 0));
}

/// A call that has too little time to wait for the observation gets a connection of its own.
#[test]
fn a_call_with_little_time_does_not_wait_for_the_observation() {
    let mut setup = Setup::start();
    setup.call();
    setup.client.send("unsafe", "100m");
    let mut second = setup.endpoint.next_request();
    write(&mut second, &right());
    assert_served(&mut setup.client);
    assert_eq!(setup.endpoint.opened(), 2);
}
