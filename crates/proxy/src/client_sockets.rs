//! How many bytes a client may have written that have not arrived, and whether it has closed its connection: while the
//! receive window is full, both wait in the client's own socket, which the kernel shows for sockets of the same machine
//! (sock_diag(7)).

use crate::socket::Socket;
use crate::system_limits::send_buffer_limits;
use netlink_packet_core::{NetlinkHeader, NetlinkMessage, NetlinkPayload, NLM_F_REQUEST};
use netlink_packet_sock_diag::constants::{AF_INET, AF_INET6, IPPROTO_TCP, TCP_CLOSE_WAIT, TCP_ESTABLISHED};
use netlink_packet_sock_diag::inet::nlas::Nla;
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_packet_sock_diag::SockDiagMessage;
use nix::libc;
use socket2::{Domain, Protocol, Type};
use std::cell::{Cell, OnceCell};
use std::io::{self, Read};
use std::net::{IpAddr, SocketAddr};
use tracing::info;

/// A reply to a request for one socket is smaller than this.
const REPLY_BUFFER_BYTES: usize = 1024;
/// In place of the cookie of a socket, matches any (inet_diag.h, `INET_DIAG_NOCOOKIE`).
const ANY_COOKIE: [u8; 8] = [0xff; 8];

/// What the kernel shows of a client's socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSocket {
    /// Bytes that were written to it and that its peer has not acknowledged.
    send_queue_bytes: u64,
    /// Those of them that have not been sent, as the receive window is full. `None` if they were not requested.
    pub unsent_bytes: Option<u64>,
    /// The client has closed it, or its sending side.
    pub is_closed: bool,
}

/// Reads the sockets of clients on this machine from the kernel.
#[derive(Default)]
pub struct ClientSockets {
    /// Opened at the first query. `None` if the system does not permit it.
    netlink: OnceCell<Option<Netlink>>,
}

/// How many bytes a client has written that have not arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnseenBytes {
    /// Read from the kernel. Bytes that arrive meanwhile may be counted.
    Exactly(u64),
    /// The kernel does not show the client's socket. `u64::MAX` if no bound is known.
    AtMost(u64),
}

impl UnseenBytes {
    /// The largest possible number.
    pub fn max(self) -> u64 {
        match self {
            UnseenBytes::Exactly(bytes) | UnseenBytes::AtMost(bytes) => bytes,
        }
    }
}

impl ClientSockets {
    fn netlink(&self) -> Option<&Netlink> {
        self.netlink.get_or_init(open_netlink).as_ref()
    }

    /// The socket of the client of this connection. `None` if the kernel does not show it.
    pub fn client_socket(&self, socket: &Socket) -> Option<ClientSocket> {
        let (local, client) = socket.addresses().ok()?;
        self.netlink()?.client_socket(client, local, ExtensionFlags::INFO).ok()
    }

    /// How many bytes the client of this connection has written that had not arrived when this was called.
    pub fn unseen_bytes(&self, socket: &Socket) -> UnseenBytes {
        let Ok((local, client)) = socket.addresses() else { return UnseenBytes::AtMost(u64::MAX) };
        let extensions = ExtensionFlags::empty();
        let shown = self.netlink().and_then(|netlink| netlink.client_socket(client, local, extensions).ok());
        let queue = shown.map(|socket| socket.send_queue_bytes);
        queue.map_or_else(|| UnseenBytes::AtMost(max_send_buffer_bytes(client.ip())), UnseenBytes::Exactly)
    }
}

/// The most that a socket with this address can hold unsent: only a socket of this machine obeys its limits.
fn max_send_buffer_bytes(address: IpAddr) -> u64 {
    let limits = send_buffer_limits().filter(|_| address.is_loopback());
    limits.map_or(u64::MAX, |limits| limits.max_adapted_bytes.max(limits.max_settable_bytes) as u64)
}

fn open_netlink() -> Option<Netlink> {
    Netlink::open()
        .inspect_err(
            |error| info!(%error, "send queues of clients cannot be read, and their limits are used"),
        )
        .ok()
}

/// A socket on which the kernel answers requests about other sockets.
struct Netlink {
    socket: socket2::Socket,
    next_sequence_number: Cell<u32>,
}

impl Netlink {
    fn open() -> io::Result<Self> {
        let domain = Domain::from(libc::AF_NETLINK);
        let protocol = Protocol::from(libc::NETLINK_SOCK_DIAG);
        let socket = socket2::Socket::new(domain, Type::DGRAM, Some(protocol))?;
        socket.set_nonblocking(true)?;
        Ok(Netlink { socket, next_sequence_number: Cell::new(1) })
    }

    /// The socket with these addresses.
    fn client_socket(
        &self,
        source: SocketAddr,
        destination: SocketAddr,
        extensions: ExtensionFlags,
    ) -> io::Result<ClientSocket> {
        let sequence_number = self.next_sequence_number.get();
        self.next_sequence_number.set(sequence_number.wrapping_add(1));
        let request = request_message(source, destination, extensions, sequence_number);
        self.socket.send(&request)?;
        loop {
            // The kernel has replied before the request is sent; earlier replies may be left.
            let reply = self.receive()?;
            if reply.header.sequence_number == sequence_number {
                return socket_in_reply(reply.payload);
            }
        }
    }

    fn receive(&self) -> io::Result<NetlinkMessage<SockDiagMessage>> {
        let mut buffer = [0; REPLY_BUFFER_BYTES];
        let count = (&self.socket).read(&mut buffer)?;
        NetlinkMessage::deserialize(&buffer[..count]).map_err(io::Error::other)
    }
}

/// A request for the socket with these addresses, encoded.
fn request_message(
    source: SocketAddr,
    destination: SocketAddr,
    extensions: ExtensionFlags,
    sequence_number: u32,
) -> Vec<u8> {
    let request = InetRequest {
        family: if source.is_ipv4() { AF_INET } else { AF_INET6 },
        protocol: IPPROTO_TCP,
        extensions,
        states: StateFlags::all(),
        socket_id: SocketId {
            source_port: source.port(),
            destination_port: destination.port(),
            source_address: source.ip(),
            destination_address: destination.ip(),
            interface_id: 0,
            cookie: ANY_COOKIE,
        },
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    header.sequence_number = sequence_number;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}

fn socket_in_reply(payload: NetlinkPayload<SockDiagMessage>) -> io::Result<ClientSocket> {
    match payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) => {
            let unsent_bytes = response.nlas.iter().find_map(|attribute| match attribute {
                Nla::TcpInfo(info) => Some(u64::from(info.notsent_bytes)),
                _ => None,
            });
            Ok(ClientSocket {
                send_queue_bytes: u64::from(response.header.send_queue),
                unsent_bytes,
                is_closed: !matches!(response.header.state, TCP_ESTABLISHED | TCP_CLOSE_WAIT),
            })
        }
        NetlinkPayload::Error(error) => Err(error.to_io()),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

#[cfg(test)]
mod tests;
