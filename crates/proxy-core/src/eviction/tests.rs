//! Tests which idle connections are closed, and how many, when file descriptors run out.

use super::*;
use crate::connection_pool::IdleConnection;
use limewing_decision::interface::PodId;
use limewing_net::sockets::Sockets;
use limewing_net::timer_wheel::TimerWheel;
use std::time::Duration;

struct Proxy {
    budget: DescriptorBudget,
    pool: ConnectionPool,
    open: Vec<SocketId>,
    closed: Vec<SocketId>,
}

impl IdleConnectionOwner for Proxy {
    fn open_connections(&self) -> usize {
        self.open.len()
    }

    fn descriptor_budget(&self) -> &DescriptorBudget {
        &self.budget
    }

    fn connection_pool(&self) -> &ConnectionPool {
        &self.pool
    }

    fn close_idle_connection(&mut self, socket: SocketId) {
        self.pool.remove(PodId(1), socket).unwrap();
        self.open.retain(|open| *open != socket);
        self.closed.push(socket);
    }
}

/// Creates a proxy with `idle` open connections to one pod and a limit of `max_connections`.
fn proxy(idle: usize, max_connections: usize) -> Proxy {
    let mut sockets = Sockets::new().unwrap();
    let mut timers = TimerWheel::default();
    let mut proxy = Proxy {
        budget: DescriptorBudget {
            max_accepted: 1,
            max_connections,
        },
        pool: ConnectionPool::default(),
        open: Vec::new(),
        closed: Vec::new(),
    };
    for _ in 0..idle {
        let (id, _) = sockets.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let connection = IdleConnection {
            id,
            timer: timers.schedule(Duration::ZERO, ()),
            idle_since: Duration::ZERO,
        };
        proxy.pool.insert(PodId(1), connection);
        proxy.open.push(id);
    }
    proxy
}

#[test]
fn nothing_is_evicted_while_descriptors_are_available() {
    let mut proxy = proxy(4, 5);
    assert!(proxy.make_room_for_connection());
    proxy.evict_for_clients();
    assert!(proxy.closed.is_empty());
}

#[test]
fn oldest_idle_connection_is_evicted_for_a_new_one() {
    let mut proxy = proxy(4, 4);
    let oldest = proxy.open[0];
    assert!(proxy.make_room_for_connection());
    assert_eq!(proxy.closed, [oldest]);
}

#[test]
fn no_connection_is_opened_if_one_eviction_is_not_enough() {
    let mut proxy = proxy(4, 2);
    assert!(!proxy.make_room_for_connection());
    assert_eq!(proxy.closed.len(), 1);
}

#[test]
fn an_eighth_of_the_idle_connections_is_evicted_for_clients() {
    let mut proxy = proxy(17, 17);
    let oldest = proxy.open[..3].to_vec();
    proxy.evict_for_clients();
    assert_eq!(proxy.closed, oldest);
}
