//! A loopback TCP proxy that injects faults into its connections.
//!
//! Once a direction of a connection has discarded bytes, it stays silent until the connection ends, even if the fault
//! is cleared. For the connections open at that time, the fault acts as a network partition that never heals; new
//! connections work. While the server's address refuses connections, the proxy's address refuses them too.

use parking_lot::Mutex;
use socket2::SockRef;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Size of the read buffer, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Interval at which an idle connection checks for a reset and a closed proxy checks for the server.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fault injected into the connections of a proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Delays each chunk by this time.
    Delayed(Duration),
    /// Limits each direction of a connection to this many bytes per second.
    Throttled(u32),
    /// Discards all bytes to the server.
    SilentToServer,
    /// Discards all bytes to the client.
    SilentToClient,
    /// Resets open connections, and new connections as soon as they open.
    Reset,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// A running fault-injecting proxy.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Listening address.
    pub address: SocketAddr,
    state: Arc<ProxyState>,
}

/// State shared by the connections of a proxy.
#[derive(Debug)]
struct ProxyState {
    /// Address of the server.
    server: SocketAddr,
    /// Listening socket of the proxy; `None` while the server is unreachable.
    listener: Mutex<Option<TcpListener>>,
    fault: Mutex<LinkFault>,
    /// Number of calls of [`FaultProxy::silence_open`].
    silence_count: AtomicU64,
}

impl FaultProxy {
    /// Starts a proxy in front of a server. The proxy runs until the process exits.
    ///
    /// # Errors
    ///
    /// Returns the system's error if binding to a loopback port fails.
    pub fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self {
            address: listener.local_addr()?,
            state: Arc::new(ProxyState {
                server,
                listener: Mutex::new(Some(listener.try_clone()?)),
                fault: Mutex::default(),
                silence_count: AtomicU64::new(0),
            }),
        };
        let state = Arc::clone(&proxy.state);
        std::thread::spawn(move || serve(listener, &state));
        Ok(proxy)
    }

    /// Sets the fault for open and new connections.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.state.fault.lock() = fault;
    }

    /// Discards all further bytes in both directions of the open connections. New connections work.
    pub fn silence_open(&self) {
        self.state.silence_count.fetch_add(1, Ordering::Relaxed);
    }
}

impl ProxyState {
    /// Stops listening if the server's address refuses connections. A client that reconnects at once after a crash of
    /// the server is then refused, as it would be without the proxy.
    fn close_if_server_is_unreachable(&self) {
        if TcpStream::connect(self.server).is_ok() {
            return;
        }
        if let Some(listener) = self.listener.lock().take() {
            // The shutdown fails if the listener is already closed.
            let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
        }
    }
}

/// Accepts connections while the server is reachable, and listens again when the server returns.
fn serve(mut listener: TcpListener, state: &Arc<ProxyState>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        serve_until_unreachable(&listener, state);
        drop(listener);
        while TcpStream::connect(state.server).is_err() {
            std::thread::sleep(POLL_INTERVAL);
        }
        listener = match TcpListener::bind(address) {
            Ok(listener) => listener,
            // Another process has taken the address, so the proxy can't listen again.
            Err(_) => return,
        };
        *state.listener.lock() = listener.try_clone().ok();
    }
}

/// Accepts connections until the server is unreachable; the client of the failed connection sees a reset.
fn serve_until_unreachable(listener: &TcpListener, state: &Arc<ProxyState>) {
    while let Ok((client, _)) = listener.accept() {
        match TcpStream::connect(state.server) {
            Ok(server) => connect(client, server, state),
            Err(_) => {
                state.close_if_server_is_unreachable();
                return reset(&client);
            }
        }
    }
}

fn connect(client: TcpStream, server: TcpStream, state: &Arc<ProxyState>) {
    let directions = [
        (client.try_clone(), server.try_clone(), Direction::ToServer),
        (server.try_clone(), client.try_clone(), Direction::ToClient),
    ];
    for (from, to, direction) in directions {
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        let state = Arc::clone(state);
        let silence_count_at_start = state.silence_count.load(Ordering::Relaxed);
        std::thread::spawn(move || forward(from, to, direction, &state, silence_count_at_start));
    }
}

/// Forwards bytes in one direction until either side closes the connection or a fault resets it.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    state: &ProxyState,
    silence_count_at_start: u64,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut is_silent = false;
    if from.set_read_timeout(Some(POLL_INTERVAL)).is_err() || to.set_nodelay(true).is_err() {
        return;
    }
    loop {
        if *state.fault.lock() == LinkFault::Reset {
            reset(&from);
            reset(&to);
            return;
        }
        let length = match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if is_timeout(&error) => continue,
            Err(_) => break,
        };
        let fault = *state.fault.lock();
        is_silent |= blocks_direction(fault, direction);
        is_silent |= state.silence_count.load(Ordering::Relaxed) > silence_count_at_start;
        std::thread::sleep(transfer_delay(fault, length));
        if !is_silent && to.write_all(&chunk[..length]).is_err() {
            break;
        }
    }
    if direction == Direction::ToClient {
        state.close_if_server_is_unreachable();
    }
    if !is_silent {
        // The other side may already be closed.
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// Delay of a chunk of `length` bytes under a fault.
fn transfer_delay(fault: LinkFault, length: usize) -> Duration {
    match fault {
        LinkFault::Delayed(time) => time,
        LinkFault::Throttled(bytes_per_s) => {
            Duration::from_secs_f64(length as f64 / f64::from(bytes_per_s))
        }
        _ => Duration::ZERO,
    }
}

fn blocks_direction(fault: LinkFault, direction: Direction) -> bool {
    matches!(
        (fault, direction),
        (LinkFault::SilentToServer, Direction::ToServer)
            | (LinkFault::SilentToClient, Direction::ToClient)
    )
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}

/// Closes a connection with a TCP reset.
fn reset(stream: &TcpStream) {
    // Both calls fail if the stream is already closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
