//! Sidecars as processes of their own, with what the system grants them.

use limewing_emulators::platform::Config;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub(crate) fn in_repo(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(file)
}

/// A file of settings with the address to listen on put in.
pub(crate) fn settings(folder: &Path, listen: &str) -> PathBuf {
    let file = folder.join("sidecar.json");
    let example = std::fs::read_to_string(in_repo("deploy/sidecar.example.json")).unwrap();
    let example = example
        .replace("127.0.0.1:8080", listen)
        .replace("sidecar-0.state.json", "/dev/null/none");
    std::fs::write(&file, example).unwrap();
    file
}

/// Settings of a sidecar that knows these pods, each with a build.
pub(crate) fn settings_with(folder: &Path, pods: &[(SocketAddr, u16)]) -> PathBuf {
    let state = folder.join("state.json");
    let row = |(at, build): &(SocketAddr, u16)| {
        format!(
            r#"{{"address":"{at}","drains":false,"build":{build},"size":1,"started":null,"zone":"east","cell":0,"kind":""}}"#
        )
    };
    let rows: Vec<String> = pods.iter().map(row).collect();
    std::fs::write(
        &state,
        format!(r#"{{"version":1,"pods":[{}]}}"#, rows.join(",")),
    )
    .unwrap();
    let file = settings(folder, "127.0.0.1:0");
    change(&file, "/dev/null/none", state.to_str().unwrap());
    file
}

/// Puts something else into a file of settings.
pub(crate) fn change(file: &Path, what: &str, by: &str) {
    let text = std::fs::read_to_string(file).unwrap();
    assert!(text.contains(what), "{what} in {text}");
    std::fs::write(file, text.replace(what, by)).unwrap();
}

/// A sidecar that ends with its test.
pub(crate) struct Running {
    pub child: Child,
    pub at: String,
}

impl Running {
    /// Starts one within the limits that a shell sets first (`ulimit -n 40;`), and waits until it listens.
    pub(crate) fn start(limits: &str, file: &Path, log: Stdio) -> Self {
        let run = format!(
            "{limits} exec {} sidecar {}",
            env!("CARGO_BIN_EXE_limewing"),
            file.display()
        );
        let mut command = Command::new("sh");
        command
            .args(["-c", &run])
            .stdout(Stdio::piped())
            .stderr(log);
        let mut child = command.spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let at = line
            .trim()
            .strip_prefix("listening ")
            .unwrap_or("it does not listen")
            .to_owned();
        Self { child, at }
    }

    pub(crate) fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.at).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        stream
    }

    pub(crate) fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stops a process, and waits until all its threads stand still. Before that its poll may still return what comes, and the
/// process would act on that alone when it goes on.
pub(crate) fn stop(child: &Child) {
    kill_process(Pid::from_child(child), Signal::STOP).unwrap();
    let tasks = format!("/proc/{}/task", child.id());
    let is_stopped = |task: std::fs::DirEntry| {
        let stat = std::fs::read_to_string(task.path().join("stat")).unwrap();
        // The state stands behind the name, which is in parentheses (proc(5)).
        let (_, state) = stat.rsplit_once(") ").unwrap();
        state.starts_with('T')
    };
    while !std::fs::read_dir(&tasks)
        .unwrap()
        .all(|task| is_stopped(task.unwrap()))
    {
        std::thread::yield_now();
    }
}

/// A process of `limewing platform`, ended with its test.
pub(crate) struct Platform {
    child: Child,
    pub at: SocketAddr,
    folder: tempfile::TempDir,
}

impl Platform {
    /// Starts one and waits until it listens; its log is read on, so that it is never held up by it.
    pub(crate) fn start(config: &Config) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("config.json");
        std::fs::write(&file, config.json()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_limewing"));
        command.arg("platform").arg(&file).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        let at = loop {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "it does not listen");
            let told = line
                .split_once("\"address\":\"")
                .and_then(|(_, rest)| rest.split('"').next());
            if let Some(at) = told.filter(|_| line.contains("\"listening\"")) {
                break at.parse().unwrap();
            }
        };
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Self { child, at, folder }
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Replaces its configuration.
    pub(crate) fn write(&self, config: &Config) {
        self.write_text(&config.json());
    }

    pub(crate) fn write_text(&self, text: &str) {
        std::fs::write(self.folder.path().join("config.json"), text).unwrap();
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Stops it, and waits until it stands still.
    pub(crate) fn stop(&self) {
        stop(&self.child);
    }

    /// Waits until it has ended; whether it did so by itself and well.
    pub(crate) fn ends(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub(crate) fn status(of: &str) -> String {
    let mut client = TcpStream::connect(of).unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    client
        .write_all(b"GET /limewing/status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        .unwrap();
    let mut answer = String::new();
    client.read_to_string(&mut answer).unwrap();
    answer
}

/// One request on a connection that stays; the head of its answer, whose body has a length.
pub(crate) fn ask(stream: &mut TcpStream, request: &str) -> std::io::Result<String> {
    stream.write_all(request.as_bytes())?;
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head
        .to_ascii_lowercase()
        .split("content-length: ")
        .nth(1)
        .map_or(0, |rest| {
            rest.split("\r\n")
                .next()
                .and_then(|length| length.parse().ok())
                .unwrap_or(0)
        });
    stream.read_exact(&mut vec![0; length])?;
    Ok(head)
}
