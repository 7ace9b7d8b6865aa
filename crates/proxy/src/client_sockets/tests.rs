//! Tests of what the kernel shows of clients, on loopback sockets.

use super::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

/// More than the buffers of both sides hold.
const FILLING_BYTES: usize = 64 << 20;

/// A client, and the other end of its connection.
async fn connection() -> (TcpStream, Socket) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (accepted, _) = listener.accept().expect("a connection");
    accepted.set_nonblocking(true).expect("a socket");
    (client, Socket::new(tokio::net::TcpStream::from_std(accepted).expect("a socket")))
}

/// Writes until no more bytes fit in the buffers of both sides. Returns their number.
fn fill(client: &mut TcpStream) -> usize {
    client.set_nonblocking(true).expect("a socket");
    let mut written_bytes = 0;
    while let Ok(count) = client.write(&vec![0; FILLING_BYTES]) {
        written_bytes += count;
    }
    written_bytes
}

#[tokio::test]
async fn bytes_that_wait_in_the_send_buffer_of_a_client_are_counted() {
    let (mut client, socket) = connection().await;
    let written_bytes = fill(&mut client);
    let unseen_bytes = ClientSockets::default().unseen_bytes(&socket).max();
    let arrived_bytes = socket.unread_bytes();
    assert!(arrived_bytes < written_bytes);
    assert!(unseen_bytes + arrived_bytes as u64 >= written_bytes as u64);
    assert!(unseen_bytes <= written_bytes as u64);
}

#[tokio::test]
async fn a_client_whose_bytes_have_arrived_has_written_no_others() {
    let (mut client, socket) = connection().await;
    client.write_all(&[0; 1_000]).expect("a connection");
    let sockets = ClientSockets::default();
    while sockets.unseen_bytes(&socket) != UnseenBytes::Exactly(0) {
        tokio::task::yield_now().await;
    }
    assert_eq!(socket.unread_bytes(), 1_000);
}

#[tokio::test]
async fn no_byte_that_has_arrived_counts_as_unsent() {
    let (mut client, socket) = connection().await;
    let sockets = ClientSockets::default();
    let unsent_bytes =
        || sockets.client_socket(&socket).expect("a local client").unsent_bytes.expect("a number of bytes");
    let mut written_bytes = 0;
    for size in [1_000, 60_000, 200_000] {
        client.write_all(&vec![0; size]).expect("a connection");
        written_bytes += size as u64;
        let arrived_bytes = socket.unread_bytes() as u64;
        assert!(arrived_bytes + unsent_bytes() <= written_bytes);
    }
    written_bytes += fill(&mut client) as u64;
    let arrived_bytes = socket.unread_bytes() as u64;
    assert!((1..=written_bytes - arrived_bytes).contains(&unsent_bytes()));
}

#[tokio::test]
async fn a_close_behind_bytes_that_stay_unread_is_detected() {
    let (mut client, socket) = connection().await;
    fill(&mut client);
    let sockets = ClientSockets::default();
    let is_closed = || sockets.client_socket(&socket).expect("a local client").is_closed;
    assert!(!is_closed());
    drop(client);
    assert!(!socket.is_peer_closed(), "the receive window is full");
    assert!(is_closed());
}

#[test]
fn the_limits_of_this_system_bound_a_local_client_only() {
    let limits = send_buffer_limits().expect("limits");
    let bound = max_send_buffer_bytes(IpAddr::from([127, 0, 0, 1]));
    assert!(bound >= limits.max_adapted_bytes as u64 && bound >= limits.max_settable_bytes as u64);
    assert_eq!(max_send_buffer_bytes(IpAddr::from([10, 0, 0, 1])), u64::MAX);
}
