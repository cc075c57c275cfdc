//! The one place that touches sockets: listeners and connections on one `mio` poll. It tells what happened and
//! holds the bytes; it knows no protocol.
//!
//! Reading stops while a connection's input is full and goes on with `read_on`, so that a peer is never read
//! faster than its bytes are used. When the process has no file descriptor left, accepting pauses and is tried
//! again: what waits stays in the backlog.

use bytes::{Buf, BytesMut};
use mio::event::Event;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use signal_hook_mio::v1_0::Signals;
use slab::Slab;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

/// One socket; the number is never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(u64);

#[derive(Debug)]
pub enum SocketEvent {
    Accepted {
        listener: SocketId,
        socket: SocketId,
        from: SocketAddr,
    },
    Connected(SocketId),
    /// There is input, or it has ended (see `ended`), or the peer has hung up behind it (see `hung_up`).
    Readable(SocketId),
    /// All that was given to `send` is with the system, after some of it had to wait.
    Flushed(SocketId),
    /// The connection is gone: refused, reset or failed. `written`: bytes given to the system before. What it had
    /// brought is told before, in an earlier round, and stays to be read until then.
    ConnectionLost {
        socket: SocketId,
        written: u64,
        error: ErrorKind,
    },
    /// A listener could not accept, for want of descriptors or memory; it tries again soon.
    AcceptFailed {
        listener: SocketId,
        error: ErrorKind,
    },
    /// A datagram came.
    Datagram {
        socket: SocketId,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Signal(i32),
}

struct Link {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    connecting: bool,
    /// Input was left with the system, as the buffer was full.
    more: bool,
    ended: bool,
    /// The system has told that the peer closed its side: the end stands behind what is left to read.
    closed: bool,
    accepted: bool,
    written: u64,
    /// Closes when the output is gone; then what still comes in is thrown away until the peer closes.
    finishing: Option<Instant>,
    shut: bool,
    /// What was thrown away since then, in bytes.
    trashed: usize,
    /// It is gone; its owner is told in the next round, and reads what came before until then.
    lost: Option<ErrorKind>,
}

enum Socket {
    Listener {
        listener: TcpListener,
        waiting: bool,
    },
    Link(Box<Link>),
    Datagrams(UdpSocket),
}

struct Slot {
    mark: u32,
    socket: Socket,
}

/// What is left in a listener's backlog.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Waits {
    Nothing,
    /// Others have their turn first.
    ForOthers,
    ForRoom,
}

/// Input held for one connection at most, in bytes.
pub const MAX_INPUT: usize = 32 * 1024;
/// Datagrams read in a row before others have their turn.
const DATAGRAM_BATCH: usize = 64;
/// Connections accepted in a row before others have their turn.
const ACCEPT_BATCH: usize = 64;
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);
/// How long a closing connection may take to send its last bytes and to be closed by the peer.
const LINGER: Duration = Duration::from_secs(2);
/// What a closing connection may still bring, in bytes. Guards against a peer that sends without end and holds the
/// loop; hurts one that sends a large message while it is told no: it may see a reset instead.
const MOST_TRASH: usize = 1024 * 1024;
const SIGNALS: Token = Token(usize::MAX);

pub struct Sockets {
    poll: Poll,
    events: Events,
    slots: Slab<Slot>,
    mark: u32,
    told: VecDeque<SocketEvent>,
    finishing: VecDeque<SocketId>,
    lingering: usize,
    /// Connections that are gone: those whose last input is being told, and those whose end is told next.
    lost: [Vec<SocketId>; 2],
    /// Connections that were accepted and are open, and how many there may be: of these, and of all.
    accepted: usize,
    most: (usize, usize),
    accept_at: Option<Instant>,
    signals: Option<Signals>,
    scratch: Box<[u8]>,
    /// Where more datagrams wait than one turn reads.
    unread: Vec<SocketId>,
}

impl Sockets {
    /// # Errors
    /// The system gives no poll.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            events: Events::with_capacity(1024),
            slots: Slab::new(),
            mark: 0,
            told: VecDeque::new(),
            finishing: VecDeque::new(),
            lingering: 0,
            lost: [Vec::new(), Vec::new()],
            accepted: 0,
            most: (usize::MAX, usize::MAX),
            accept_at: None,
            signals: None,
            scratch: vec![0; 16 * 1024].into_boxed_slice(),
            unread: Vec::new(),
        })
    }

    /// Tells of these signals from now on.
    ///
    /// # Errors
    /// A signal that can't be watched.
    pub fn watch_signals(&mut self, signals: &[i32]) -> io::Result<()> {
        let mut watched = Signals::new(signals)?;
        self.poll
            .registry()
            .register(&mut watched, SIGNALS, Interest::READABLE)?;
        self.signals = Some(watched);
        Ok(())
    }

    /// # Errors
    /// The address is in use or not this machine's.
    pub fn listen(&mut self, at: SocketAddr) -> io::Result<(SocketId, SocketAddr)> {
        let listener = TcpListener::bind(at)?;
        let address = listener.local_addr()?;
        let id = self.insert(Socket::Listener {
            listener,
            waiting: false,
        })?;
        Ok((id, address))
    }

    /// Takes and sends datagrams here; `Datagram` tells of each that comes.
    ///
    /// # Errors
    /// The address is in use or not this machine's.
    pub fn bind_datagrams(&mut self, at: SocketAddr) -> io::Result<(SocketId, SocketAddr)> {
        let socket = UdpSocket::bind(at)?;
        let address = socket.local_addr()?;
        let id = self.insert(Socket::Datagrams(socket))?;
        Ok((id, address))
    }

    /// Sends one datagram, or loses it: whoever speaks by datagrams bears that.
    pub fn send_datagram(&mut self, id: SocketId, to: SocketAddr, bytes: &[u8]) {
        let slot = self
            .slots
            .get(id.0 as u32 as usize)
            .filter(|slot| u64::from(slot.mark) == id.0 >> 32);
        if let Some(Slot {
            socket: Socket::Datagrams(socket),
            ..
        }) = slot
        {
            let _ = socket.send_to(bytes, to);
        }
    }

    fn read_datagrams(&mut self, id: SocketId) {
        let Some(Slot {
            socket: Socket::Datagrams(socket),
            ..
        }) = self.slots.get(id.0 as u32 as usize)
        else {
            return;
        };
        for _ in 0..DATAGRAM_BATCH {
            match socket.recv_from(&mut self.scratch) {
                Ok((length, from)) => {
                    let bytes = self.scratch[..length].to_vec();
                    self.told.push_back(SocketEvent::Datagram {
                        socket: id,
                        from,
                        bytes,
                    });
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // What the system tells of an earlier datagram's fate is no matter of this one's.
                Err(_) => {}
            }
        }
        self.unread.push(id);
    }

    /// Accepts no connection while so many accepted ones are open, or so many of any kind: what waits stays in the
    /// backlog.
    pub fn limit_connections(&mut self, accepted: usize, all: usize) {
        self.most = (accepted, all);
    }

    /// Begins a connection; `Connected` or `Lost` follows.
    ///
    /// # Errors
    /// No descriptor, or no way there.
    pub fn connect(&mut self, to: SocketAddr) -> io::Result<SocketId> {
        let stream = TcpStream::connect(to)?;
        self.insert(Socket::Link(Box::new(Link::new(stream, true))))
    }

    fn insert(&mut self, socket: Socket) -> io::Result<SocketId> {
        self.mark = self.mark.wrapping_add(1) & 0x7fff_ffff;
        let index = self.slots.insert(Slot {
            mark: self.mark,
            socket,
        });
        let id = SocketId(u64::from(self.mark) << 32 | index as u64);
        let token = Token(id.0 as usize);
        let registry = self.poll.registry();
        let done = match &mut self.slots[index].socket {
            Socket::Listener { listener, .. } => {
                registry.register(listener, token, Interest::READABLE)
            }
            Socket::Link(link) => {
                let _ = link.stream.set_nodelay(true);
                registry.register(
                    &mut link.stream,
                    token,
                    Interest::READABLE | Interest::WRITABLE,
                )
            }
            Socket::Datagrams(socket) => registry.register(socket, token, Interest::READABLE),
        };
        if let Err(trouble) = done {
            self.slots.remove(index);
            return Err(trouble);
        }
        Ok(id)
    }

    fn link(&mut self, id: SocketId) -> Option<&mut Link> {
        let slot = self
            .slots
            .get_mut(id.0 as u32 as usize)
            .filter(|slot| u64::from(slot.mark) == id.0 >> 32)?;
        match &mut slot.socket {
            Socket::Link(link) => Some(link),
            Socket::Listener { .. } | Socket::Datagrams(_) => None,
        }
    }

    /// What has come in and was not taken yet.
    pub fn input(&mut self, id: SocketId) -> Option<&mut BytesMut> {
        self.link(id)
            .filter(|link| link.finishing.is_none())
            .map(|link| &mut link.input)
    }

    /// Whether the peer has closed its side.
    pub fn has_ended(&mut self, id: SocketId) -> bool {
        self.link(id).is_none_or(|link| link.ended)
    }

    /// Whether the peer has closed its side or the connection is gone, though input may be left to read before it.
    pub fn has_peer_closed(&mut self, id: SocketId) -> bool {
        self.link(id)
            .is_none_or(|link| link.ended || link.closed || link.lost.is_some())
    }

    /// Whether nothing has come in: no byte, and no end. Asks the system, which may know more than was told.
    pub fn is_silent(&mut self, id: SocketId) -> bool {
        let live = |link: &&mut Link| link.input.is_empty() && !link.ended && link.lost.is_none();
        let Some(link) = self.link(id).filter(live) else {
            return false;
        };
        matches!(link.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Whether bytes lie with the system that were not read yet.
    pub fn has_unread_input(&mut self, id: SocketId) -> bool {
        self.link(id)
            .is_some_and(|link| matches!(link.stream.peek(&mut [0]), Ok(1..)))
    }

    /// Whether connections that were finished still send their last bytes or hear their peers out.
    pub fn has_lingering(&self) -> bool {
        self.lingering > 0
    }

    /// Lets in what waits at a listener, then closes it: what is left in a backlog would be reset unheard. Tells
    /// whether it is closed: without room for one more connection it stays open, as one may wait.
    pub fn stop_listening(&mut self, id: SocketId) -> bool {
        loop {
            let slot = self
                .slots
                .get(id.0 as u32 as usize)
                .filter(|slot| u64::from(slot.mark) == id.0 >> 32);
            if !matches!(
                slot,
                Some(Slot {
                    socket: Socket::Listener { .. },
                    ..
                })
            ) {
                return true;
            }
            let before = self.accepted;
            match self.accept(id) {
                Waits::Nothing => {
                    self.close(id);
                    return true;
                }
                Waits::ForOthers if self.accepted > before => {}
                Waits::ForOthers | Waits::ForRoom => return false,
            }
        }
    }

    /// Bytes given to the system so far.
    pub fn bytes_written(&mut self, id: SocketId) -> u64 {
        self.link(id).map_or(0, |link| link.written)
    }

    /// Bytes that wait to be sent.
    pub fn unsent_bytes(&mut self, id: SocketId) -> usize {
        self.link(id).map_or(0, |link| link.output.len())
    }

    /// Bytes that wait to be sent on all connections together. It looks at each: not for every turn.
    pub fn total_unsent_bytes(&self) -> usize {
        let waits = |slot: &Slot| match &slot.socket {
            Socket::Link(link) => link.output.len(),
            Socket::Listener { .. } | Socket::Datagrams(_) => 0,
        };
        self.slots.iter().map(|(_, slot)| waits(slot)).sum()
    }

    /// Connections and listeners open now.
    pub fn open_count(&self) -> usize {
        self.slots.len()
    }

    /// Queues bytes and sends what the system takes now.
    pub fn send(&mut self, id: SocketId, bytes: &[u8]) {
        let open = |link: &&mut Link| link.finishing.is_none() && link.lost.is_none();
        let Some(link) = self.link(id).filter(open) else {
            return;
        };
        // Straight to the system while nothing waits before it; what that does not take is kept.
        let mut rest = bytes;
        if !link.connecting && link.output.is_empty() {
            match link.write(&mut rest) {
                Ok(()) if rest.is_empty() => return,
                Ok(()) => {}
                Err(why) => return self.lose(id, why.kind()),
            }
        }
        link.output.extend_from_slice(rest);
    }

    /// Goes on reading after input was taken.
    pub fn resume_reading(&mut self, id: SocketId) {
        if self
            .link(id)
            .is_some_and(|link| link.more && link.input.len() < MAX_INPUT)
        {
            self.fill(id);
        }
    }

    /// Closes at once; nothing more is told of it.
    pub fn close(&mut self, id: SocketId) {
        let slot = self.slots.get(id.0 as u32 as usize);
        if slot.is_some_and(|slot| u64::from(slot.mark) == id.0 >> 32) {
            let mut slot = self.slots.remove(id.0 as u32 as usize);
            let _ = match &mut slot.socket {
                Socket::Listener { listener, .. } => self.poll.registry().deregister(listener),
                Socket::Link(link) => {
                    self.accepted -= usize::from(link.accepted);
                    self.lingering -= usize::from(link.finishing.is_some());
                    self.poll.registry().deregister(&mut link.stream)
                }
                Socket::Datagrams(socket) => self.poll.registry().deregister(socket),
            };
            // What waits to be let in need not wait out its time: there is room now.
            if self.accept_at.is_some() {
                self.accept_at = Some(Instant::now());
            }
        }
    }

    /// Closes once all is sent; nothing more is told of it. The peer is heard out first, or the system would
    /// answer its last bytes with a reset that destroys ours on the way.
    pub fn close_when_sent(&mut self, id: SocketId) {
        let Some(link) = self.link(id).filter(|link| link.finishing.is_none()) else {
            return;
        };
        if link.lost.is_some() {
            return self.close(id);
        }
        link.finishing = Some(Instant::now() + LINGER);
        link.input = BytesMut::new();
        self.lingering += 1;
        self.finishing.push_back(id);
        self.wind_up(id);
    }

    fn wind_up(&mut self, id: SocketId) {
        let Some(link) = self.link(id) else { return };
        if !link.connecting && link.output.is_empty() && !link.shut {
            link.shut = true;
            let _ = link.stream.shutdown(Shutdown::Write);
        }
        if link.shut {
            let mut trash = [0; 4096];
            loop {
                match link.stream.read(&mut trash) {
                    Ok(0) => return self.close(id),
                    Ok(length) => {
                        link.trashed += length;
                        if link.trashed > MOST_TRASH {
                            return self.close(id);
                        }
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return self.close(id),
                }
            }
        }
    }

    /// A connection is gone. What it brought before is told first: a whole answer may stand before a reset, and be
    /// with the system still when a write fails.
    fn lose(&mut self, id: SocketId, why: ErrorKind) {
        let Some(link) = self.link(id).filter(|link| link.lost.is_none()) else {
            return;
        };
        if link.finishing.is_some() {
            return self.close(id);
        }
        link.lost = Some(why);
        link.output = BytesMut::new();
        let up = !link.connecting;
        self.lost[0].push(id);
        if up {
            self.fill(id);
        }
    }

    /// Tells of connections that are gone, once what they brought was there to be read.
    fn tell_lost(&mut self) {
        for id in std::mem::take(&mut self.lost[1]) {
            let Some(link) = self.link(id) else { continue };
            if link.more && link.input.len() < MAX_INPUT {
                // The owner takes what comes and there is more.
                self.fill(id);
                self.lost[0].push(id);
                continue;
            }
            let (written, why) = (link.written, link.lost.unwrap_or(ErrorKind::Other));
            self.close(id);
            self.told.push_back(SocketEvent::ConnectionLost {
                socket: id,
                written,
                error: why,
            });
        }
    }

    /// What happened, in the order in which the system told it; waits until something does, or for `most`.
    ///
    /// # Errors
    /// The poll itself failed.
    pub fn wait(&mut self, most: Option<Duration>) -> io::Result<Vec<SocketEvent>> {
        let soon = self
            .accept_at
            .map(|at| at.saturating_duration_since(Instant::now()));
        self.tell_lost();
        let at_once = !self.told.is_empty() || !self.unread.is_empty() || !self.lost[0].is_empty();
        let most = if at_once { Some(Duration::ZERO) } else { most };
        let most = [most, soon, self.end_lingering()]
            .into_iter()
            .flatten()
            .min();
        let mut polled = self.poll.poll(&mut self.events, most);
        // Interrupted, as a process is that stood still and goes on (signal(7)), it tells nothing of what has come
        // meanwhile, which is to be known before what is due.
        if polled
            .as_ref()
            .is_err_and(|e| e.kind() == ErrorKind::Interrupted)
        {
            polled = self.poll.poll(&mut self.events, Some(Duration::ZERO));
        }
        match polled {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        // Before the news: a batch that is cut short in this round goes on in the next one.
        if self.accept_at.is_some_and(|at| at <= Instant::now()) {
            self.accept_at = None;
            let waits = |(index, slot): (usize, &Slot)| match &slot.socket {
                Socket::Listener { waiting: true, .. } => {
                    Some(SocketId(u64::from(slot.mark) << 32 | index as u64))
                }
                _ => None,
            };
            let waiting: Vec<SocketId> = self.slots.iter().filter_map(waits).collect();
            waiting.into_iter().for_each(|id| {
                self.accept(id);
            });
        }
        let unread = std::mem::take(&mut self.unread);
        unread.into_iter().for_each(|id| self.read_datagrams(id));
        let seen = |e: &Event| {
            (
                e.token(),
                e.is_readable(),
                e.is_writable(),
                e.is_read_closed(),
            )
        };
        let ready: Vec<_> = self.events.iter().map(seen).collect();
        for (token, readable, writable, closed) in ready {
            if token == SIGNALS {
                let pending = self
                    .signals
                    .as_mut()
                    .map(|s| s.pending().collect::<Vec<_>>());
                self.told
                    .extend(pending.into_iter().flatten().map(SocketEvent::Signal));
                continue;
            }
            let id = SocketId(token.0 as u64);
            let hangs_up = self
                .link(id)
                .is_some_and(|link| closed && !std::mem::replace(&mut link.closed, true));
            self.stir(id, readable, writable);
            // Behind a full buffer the end can't be read, and is told all the same.
            if hangs_up
                && self
                    .link(id)
                    .is_some_and(|link| link.more && link.finishing.is_none())
            {
                self.told.push_back(SocketEvent::Readable(id));
            }
        }
        let gone = std::mem::take(&mut self.lost[0]);
        self.lost[1].extend(gone);
        Ok(self.told.drain(..).collect())
    }

    /// Drops connections that linger too long; tells when the next one is due.
    fn end_lingering(&mut self) -> Option<Duration> {
        let now = Instant::now();
        while let Some(id) = self.finishing.front().copied() {
            match self.link(id).and_then(|link| link.finishing) {
                Some(until) if until > now => return Some(until - now),
                _ => {
                    self.finishing.pop_front();
                    self.close(id);
                }
            }
        }
        None
    }

    fn stir(&mut self, id: SocketId, readable: bool, writable: bool) {
        let Some(slot) = self.slots.get(id.0 as u32 as usize) else {
            return;
        };
        if u64::from(slot.mark) != id.0 >> 32 {
            return;
        }
        match slot.socket {
            Socket::Listener { .. } => {
                self.accept(id);
                return;
            }
            Socket::Datagrams(_) => return self.read_datagrams(id),
            Socket::Link(_) => {}
        }
        let Some(link) = self.link(id).filter(|link| link.lost.is_none()) else {
            return;
        };
        if link.connecting {
            if let Ok(Some(error)) | Err(error) = link.stream.take_error() {
                return self.lose(id, error.kind());
            }
            match link.stream.peer_addr() {
                Ok(_) => link.connecting = false,
                Err(e) if e.kind() == ErrorKind::NotConnected => return,
                Err(e) => return self.lose(id, e.kind()),
            }
            self.told.push_back(SocketEvent::Connected(id));
        }
        let Some(link) = self.link(id) else { return };
        if writable && !link.output.is_empty() {
            match link.flush() {
                Err(why) => return self.lose(id, why.kind()),
                Ok(()) if link.output.is_empty() && link.finishing.is_none() => {
                    self.told.push_back(SocketEvent::Flushed(id))
                }
                Ok(()) => {}
            }
        }
        if self.link(id).is_some_and(|link| link.finishing.is_some()) {
            return self.wind_up(id);
        }
        if readable {
            self.fill(id);
        }
    }

    fn fill(&mut self, id: SocketId) {
        let mut scratch = std::mem::take(&mut self.scratch);
        let Some(link) = self.link(id) else {
            self.scratch = scratch;
            return;
        };
        let mut failed = None;
        let mut fresh = false;
        link.more = false;
        while !link.ended {
            if link.input.len() >= MAX_INPUT {
                link.more = true;
                break;
            }
            let room = scratch.len().min(MAX_INPUT - link.input.len());
            match link.stream.read(&mut scratch[..room]) {
                // The end of what is gone is no end that the peer made.
                Ok(0) if link.lost.is_some() => break,
                Ok(0) => (link.ended, fresh) = (true, true),
                Ok(length) => {
                    link.input.extend_from_slice(&scratch[..length]);
                    fresh = true;
                    // Less than asked for: nothing is left, and what comes next is told anew (epoll(7)). The end
                    // may have been told with these bytes already, and is then read now.
                    if length < room && !link.closed && link.lost.is_none() {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    failed = Some(e.kind());
                    break;
                }
            }
        }
        self.scratch = scratch;
        if fresh {
            self.told.push_back(SocketEvent::Readable(id));
        }
        if let Some(why) = failed {
            self.lose(id, why);
        }
    }

    fn accept(&mut self, id: SocketId) -> Waits {
        for turn in 0..=ACCEPT_BATCH {
            let open = self.slots.len();
            let Some(slot) = self.slots.get_mut(id.0 as u32 as usize) else {
                return Waits::Nothing;
            };
            let Socket::Listener { listener, waiting } = &mut slot.socket else {
                return Waits::Nothing;
            };
            if turn == ACCEPT_BATCH {
                // The rest waits for the next round: others have their turn first.
                *waiting = true;
                self.accept_at = Some(Instant::now());
                return Waits::ForOthers;
            }
            *waiting = false;
            let (accepted, all) = self.most;
            if self.accepted >= accepted || open >= all {
                return self.pause(id, ErrorKind::QuotaExceeded);
            }
            match listener.accept() {
                Ok((stream, from)) => {
                    let link = Link {
                        accepted: true,
                        ..Link::new(stream, false)
                    };
                    match self.insert(Socket::Link(Box::new(link))) {
                        Ok(socket) => {
                            self.accepted += 1;
                            self.told.push_back(SocketEvent::Accepted {
                                listener: id,
                                socket,
                                from,
                            });
                        }
                        // Its peer sees it closed unanswered: better that the others wait.
                        Err(e) => return self.pause(id, e.kind()),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Waits::Nothing,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(e) => return self.pause(id, e.kind()),
            }
        }
        Waits::ForOthers
    }

    /// Edge-triggered: nobody tells again of what waits, so it is tried again after a while.
    fn pause(&mut self, id: SocketId, why: ErrorKind) -> Waits {
        if let Some(Slot {
            socket: Socket::Listener { waiting, .. },
            ..
        }) = self.slots.get_mut(id.0 as u32 as usize)
        {
            *waiting = true;
        }
        self.accept_at = Some(Instant::now() + ACCEPT_AGAIN);
        self.told.push_back(SocketEvent::AcceptFailed {
            listener: id,
            error: why,
        });
        Waits::ForRoom
    }
}

/// How many descriptors, and bytes of address space, this process may hold.
pub fn resource_limits() -> (usize, usize) {
    let of = |what| {
        let limit = rustix::process::getrlimit(what).current;
        limit.map_or(usize::MAX, |most| {
            usize::try_from(most).unwrap_or(usize::MAX)
        })
    };
    (
        of(rustix::process::Resource::Nofile),
        of(rustix::process::Resource::As),
    )
}

/// Whether what failed is for want of something of this process or its machine, and says nothing of the peer.
pub fn is_resource_exhaustion(trouble: &io::Error) -> bool {
    use rustix::io::Errno;
    let own = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::NOSPC,
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
    ];
    Errno::from_io_error(trouble).is_some_and(|errno| own.contains(&errno))
}

impl Link {
    fn new(stream: TcpStream, connecting: bool) -> Self {
        let (input, output) = (BytesMut::new(), BytesMut::new());
        let (more, ended, closed, accepted, written) = (false, false, false, false, 0);
        let (finishing, shut, trashed, lost) = (None, false, 0, None);
        Self {
            stream,
            input,
            output,
            connecting,
            more,
            ended,
            closed,
            accepted,
            written,
            finishing,
            shut,
            trashed,
            lost,
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        let output = std::mem::take(&mut self.output);
        let mut rest = &output[..];
        let done = self.write(&mut rest);
        // An idle connection holds no buffer.
        if !rest.is_empty() {
            let sent = output.len() - rest.len();
            self.output = output;
            self.output.advance(sent);
        }
        done
    }

    /// Writes what the system takes and leaves the rest.
    fn write(&mut self, bytes: &mut &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.stream.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => {
                    *bytes = &bytes[length..];
                    self.written += length as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
