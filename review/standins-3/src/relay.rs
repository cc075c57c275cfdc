//! A relay before the rollout service, which holds back the answers to votes.

use crate::world::{listen, World};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Relays connections to `to`; what comes back on a connection with a vote is passed on
/// `vote_answer_ms` later.
pub fn start(world: &World, to: SocketAddr, vote_answer_ms: u64) -> SocketAddr {
    let (listener, at) = listen();
    let world = world.clone();
    std::thread::spawn(move || {
        for from in listener.incoming().flatten() {
            let world = world.clone();
            std::thread::spawn(move || {
                let _ = relay(&world, from, to, vote_answer_ms);
            });
        }
    });
    at
}

fn relay(
    world: &World,
    mut from: TcpStream,
    to: SocketAddr,
    vote_answer_ms: u64,
) -> std::io::Result<()> {
    let mut onward = TcpStream::connect(to)?;
    onward.set_nodelay(true)?;
    from.set_nodelay(true)?;
    let mut buffer = [0; 16 * 1024];
    let length = from.read(&mut buffer)?;
    let is_vote = buffer[..length].starts_with(b"POST");
    onward.write_all(&buffer[..length])?;
    let (mut back, mut client) = (onward.try_clone()?, from.try_clone()?);
    let world = world.clone();
    std::thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(length @ 1..) = back.read(&mut buffer) {
            if is_vote && vote_answer_ms > 0 {
                std::thread::sleep(Duration::from_millis(vote_answer_ms));
            }
            if client.write_all(&buffer[..length]).is_err() {
                break;
            }
            if is_vote {
                world.log("relay passed on an answer to a vote");
            }
        }
        let _ = client.shutdown(Shutdown::Both);
    });
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        onward.write_all(&buffer[..length])?;
    }
    onward.shutdown(Shutdown::Both)
}
