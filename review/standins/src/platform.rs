//! Stand-ins for pods, discovery and rollouts.

use crate::lab::Record;
use crate::pg;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            let _ = thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || handle(stream));
        }
    });
}

/// A pod that serves every query after its time of work, each connection on its own.
pub struct Pod {
    pub host: String,
    pub address: SocketAddr,
    pub work_ms: Arc<AtomicU64>,
    pub ran: Arc<AtomicU64>,
}

/// The value that a pod gives for a request: made from the request's id.
pub fn value_of(id: &str) -> Vec<u8> {
    format!("value of {id}").into_bytes()
}

impl Pod {
    pub fn start(host: &str, work_ms: u64, record: &Record) -> Self {
        let (listener, address) = listen();
        let pod = Self {
            host: host.into(),
            address,
            work_ms: Arc::new(AtomicU64::new(work_ms)),
            ran: Arc::default(),
        };
        let (work, ran, record, name) = (
            Arc::clone(&pod.work_ms),
            Arc::clone(&pod.ran),
            record.clone(),
            pod.host.clone(),
        );
        serve(listener, move |stream| {
            let _ = session(stream, &name, &work, &ran, &record);
        });
        pod
    }

    pub fn entry(&self, health: &str) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"a","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":0,"version_no":1}}"#,
            self.host, self.address
        )
    }
}

fn session(
    mut stream: TcpStream,
    name: &str,
    work_ms: &AtomicU64,
    ran: &AtomicU64,
    record: &Record,
) -> std::io::Result<()> {
    pg::read_startup(&mut stream)?;
    let mut hello = pg::message(b'R', &[0; 4]);
    hello.extend(pg::ready());
    stream.write_all(&hello)?;
    loop {
        let (kind, body) = pg::read_message(&mut stream)?;
        if kind != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
        if text.trim().is_empty() {
            let mut out = pg::message(b'I', b"");
            out.extend(pg::ready());
            stream.write_all(&out)?;
            continue;
        }
        let id = pg::comment_field(&text, "id").to_owned();
        ran.fetch_add(1, Ordering::Relaxed);
        record.line(&format!("pod {name} runs {id}"));
        thread::sleep(Duration::from_millis(work_ms.load(Ordering::Relaxed)));
        let tag = if text.starts_with("INSERT") {
            "INSERT 0 1"
        } else {
            "SELECT 1"
        };
        stream.write_all(&pg::row(&value_of(&id), tag))?;
    }
}

pub fn listing(pods: &[Pod]) -> String {
    let entries: Vec<String> = pods.iter().map(|pod| pod.entry("in_service")).collect();
    format!(
        r#"{{"seq":7,"whole":true,"hosts":[{}]}}"#,
        entries.join(",")
    )
}

fn read_head(stream: &TcpStream) -> std::io::Result<(String, BufReader<TcpStream>, usize)> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut first = String::new();
    reader.read_line(&mut first)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
    }
    Ok((first, reader, length))
}

fn chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())
}

const CHUNKED: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Discovery whose list does not change.
pub fn discovery(list: String) -> SocketAddr {
    let (listener, address) = listen();
    serve(listener, move |mut stream| {
        let _ = (|| {
            let (first, _reader, _) = read_head(&stream)?;
            if !first.contains("follow=1") {
                return write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}",
                    list.len()
                );
            }
            stream.write_all(CHUNKED)?;
            chunk(&mut stream, &format!("{list}\n"))?;
            loop {
                thread::sleep(Duration::from_secs(2));
                chunk(&mut stream, "\n")?;
            }
        })();
    });
    address
}

/// The state of a build that was released long ago.
pub const RELEASED: &str =
    r#"{"Revision":1,"Wave":2,"State":"Healthy","MaxShare":1.0,"AgeMs":600000}"#;

/// A rollout service with nothing on trial.
pub fn rollouts() -> SocketAddr {
    let (listener, address) = listen();
    serve(listener, move |mut stream| {
        let _ = (|| {
            let (first, mut reader, length) = read_head(&stream)?;
            if first.starts_with("POST") {
                let mut body = vec![0; length];
                reader.read_exact(&mut body)?;
                return write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{RELEASED}",
                    RELEASED.len()
                );
            }
            stream.write_all(CHUNKED)?;
            chunk(
                &mut stream,
                &format!("{{\"type\":\"news\",\"object\":{RELEASED}}}\n"),
            )?;
            loop {
                thread::sleep(Duration::from_secs(1));
                chunk(&mut stream, "{}\n")?;
            }
        })();
    });
    address
}
