//! A listener that can be open, closed or silent, at an address that stays its own all the while.

use socket2::{Domain, SockRef, Socket, Type};
use std::io::Result;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Mutex, PoisonError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Connections that may wait to be taken.
const BACKLOG: i32 = 1_024;
/// Connections that fill the queue of a gate that takes nobody, so that others never come up.
const FILLERS: usize = 3;

/// Where a gate stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerState {
    up: bool,
    silent: bool,
    /// Counts the times that it was closed.
    pub generation: u32,
}

/// A listener's address and what it does with those who come.
pub struct SwitchableListener {
    /// Where it listens.
    pub address: SocketAddr,
    /// Keeps the port while nobody listens there.
    _holder: Socket,
    /// Takes connections from the beginning, though `serve` comes later.
    first: Mutex<Option<TcpListener>>,
    state: watch::Sender<ListenerState>,
}

/// Parties have addresses of their own, by their kind and number.
#[derive(Clone, Copy, Debug)]
pub enum Role {
    /// Servers.
    Server = 1,
    /// Proxies.
    Proxy = 2,
    /// Agents of discovery.
    Agent = 3,
    /// Relays.
    Relay = 4,
}

/// An address of this machine for a party, with a port that the kernel chooses.
pub fn address(party: Role, number: usize) -> SocketAddr {
    let number = number as u16;
    SocketAddr::from((Ipv4Addr::new(127, party as u8, (number >> 8) as u8, (number & 0xff) as u8), 0))
}

/// A socket that keeps an address while others may listen there.
pub fn reserve(address: SocketAddr) -> Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Where a held socket is bound.
pub fn bound_address(socket: &Socket) -> Result<SocketAddr> {
    let address = socket.local_addr()?.as_socket();
    address.ok_or_else(|| std::io::Error::other("no address of IPv4"))
}

/// Listens at an address that is held.
fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = reserve(address)?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

impl SwitchableListener {
    /// Takes an address; who comes before `serve` waits for it.
    pub fn new(address: SocketAddr) -> Result<Self> {
        let holder = reserve(address)?;
        let state = watch::Sender::new(ListenerState { up: true, silent: false, generation: 0 });
        let address = bound_address(&holder)?;
        let first = Mutex::new(Some(listen(address)?));
        Ok(SwitchableListener { address, _holder: holder, first, state })
    }

    /// Nothing passes, and new connections never come up; or it is as before.
    pub fn silence(&self, silent: bool) {
        self.state.send_if_modified(|state| std::mem::replace(&mut state.silent, silent) != silent);
    }

    /// New connections are refused, and those that are open end.
    pub fn close(&self) {
        self.state.send_modify(|state| {
            *state = ListenerState { up: false, silent: false, generation: state.generation + 1 }
        });
    }

    /// Connections that are open end.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.generation += 1);
    }

    /// New connections are refused, or taken again; those that are open stay.
    pub fn refuse(&self, refuses: bool) {
        self.state.send_if_modified(|state| std::mem::replace(&mut state.up, !refuses) == refuses);
    }

    /// Connections are taken again.
    pub fn open(&self) {
        self.state.send_modify(|state| state.up = true);
    }

    /// To see it change.
    pub fn watch(&self) -> watch::Receiver<ListenerState> {
        self.state.subscribe()
    }

    /// Takes connections while it is open, for ever.
    pub async fn serve(&self, taken: impl Fn(TcpStream, u32)) {
        let mut state = self.state.subscribe();
        let mut listener = self.first.lock().unwrap_or_else(PoisonError::into_inner).take();
        loop {
            let now = *state.borrow_and_update();
            if !now.up {
                listener = None;
            } else if listener.is_none() {
                listener = listen(self.address).ok();
            }
            let Some(open) = listener.as_ref().filter(|_| !now.silent) else {
                let fillers = listener.as_ref().map(|l| fill_accept_queue(l, self.address));
                if state.changed().await.is_err() {
                    return;
                }
                drop(fillers);
                if let Some(listener) = &listener {
                    // At worst the queue stays short.
                    let _ = SockRef::from(listener).listen(BACKLOG);
                }
                continue;
            };
            tokio::select! {
                came = open.accept() => if let Ok((stream, _)) = came { taken(stream, now.generation) },
                changed = state.changed() => if changed.is_err() { return },
            }
        }
    }
}

/// Waits while nothing comes through.
pub async fn wait_until_not_silent(mut state: watch::Receiver<ListenerState>) {
    let _ = state.wait_for(|state| !state.silent).await;
}

/// Waits until what was open at this generation has ended.
pub async fn wait_for_reset(state: &mut watch::Receiver<ListenerState>, generation: u32) {
    let _ = state.wait_for(|state| state.generation != generation).await;
}

/// Fills the queue of a listener that takes nobody.
fn fill_accept_queue(listener: &TcpListener, address: SocketAddr) -> tokio::task::JoinSet<()> {
    let mut fillers = tokio::task::JoinSet::new();
    // Without it connections come up and are as silent as the rest.
    let _ = SockRef::from(listener).listen(0);
    for _ in 0..FILLERS {
        fillers.spawn(async move {
            let _open = TcpStream::connect(address).await;
            std::future::pending::<()>().await;
        });
    }
    fillers
}
