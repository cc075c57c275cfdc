//! Tests connections to a service whose address changes.

use super::{EndedConnection, ServiceConnections};
use limewing_net::sockets::{SocketId, Sockets};

fn socket_ids() -> [SocketId; 3] {
    let mut sockets = Sockets::new().unwrap();
    [(); 3].map(|()| sockets.listen("127.0.0.1:0".parse().unwrap()).unwrap().0)
}

#[test]
fn former_connection_is_kept_beside_the_new_one_after_a_move() {
    let [first, second, third] = socket_ids();
    let mut connections = ServiceConnections::default();
    assert!(!connections.is_open());
    connections.set_current(first);
    assert!(connections.is_open());
    assert_eq!(connections.begin_move(), None);
    assert!(!connections.is_open());
    connections.set_current(second);
    assert_eq!(connections.remove(third), EndedConnection::Unknown);
    assert_eq!(connections.remove(first), EndedConnection::Former);
    assert_eq!(connections.remove(first), EndedConnection::Unknown);
    assert_eq!(connections.remove(second), EndedConnection::Current);
    assert!(!connections.is_open());
}

#[test]
fn second_move_abandons_the_former_connection() {
    let [first, second, _] = socket_ids();
    let mut connections = ServiceConnections::default();
    connections.set_current(first);
    connections.begin_move();
    connections.set_current(second);
    assert_eq!(connections.begin_move(), Some(first));
    assert_eq!(connections.remove(first), EndedConnection::Unknown);
    assert_eq!(connections.remove(second), EndedConnection::Former);
}
