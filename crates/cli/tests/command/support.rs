//! Runs the command and its sidecars as separate processes.

use limewing_emulators::platform::SidecarConfigFile;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

/// Returns the path of a file in the repository.
pub(crate) fn repository_file(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(file)
}

/// Runs the command until it exits.
pub(crate) fn run_limewing(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_limewing"))
        .args(args)
        .output()
        .expect("the command starts")
}

/// Writes the example settings with a different listening address.
pub(crate) fn write_settings(folder: &Path, listen: &str) -> PathBuf {
    let file = folder.join("sidecar.json");
    let example = std::fs::read_to_string(repository_file("deploy/sidecar.example.json")).unwrap();
    let example = example
        .replace("127.0.0.1:8080", listen)
        .replace("sidecar-0.state.json", "/dev/null/none");
    std::fs::write(&file, example).unwrap();
    file
}

/// Writes settings of a sidecar with these pods, each given by address and build.
pub(crate) fn write_settings_with_pods(folder: &Path, pods: &[(SocketAddr, u16)]) -> PathBuf {
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
    let file = write_settings(folder, "127.0.0.1:0");
    replace_in_file(&file, "/dev/null/none", state.to_str().unwrap());
    file
}

/// Replaces a text in a file, which must contain it.
pub(crate) fn replace_in_file(file: &Path, old: &str, new: &str) {
    let text = std::fs::read_to_string(file).unwrap();
    assert!(text.contains(old), "{old} not found in {text}");
    std::fs::write(file, text.replace(old, new)).unwrap();
}

/// A process of `limewing sidecar`, killed on drop.
pub(crate) struct SidecarProcess {
    pub child: Child,
    /// Address on which it serves its clients.
    pub address: String,
}

impl SidecarProcess {
    /// Starts a sidecar after the shell commands in `limits` (such as `ulimit -n 40;`), and waits until it listens.
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
        let address = line
            .trim()
            .strip_prefix("listening ")
            .unwrap_or("it does not listen")
            .to_owned();
        Self { child, address }
    }

    pub(crate) fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        stream
    }

    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for SidecarProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Suspends a process, and waits until all of its threads are stopped. Before that, its poll may still return early events,
/// and the process would handle them separately from later ones when it resumes.
pub(crate) fn suspend(child: &Child) {
    kill_process(Pid::from_child(child), Signal::STOP).unwrap();
    let tasks = format!("/proc/{}/task", child.id());
    let is_stopped = |task: std::fs::DirEntry| {
        let stat = std::fs::read_to_string(task.path().join("stat")).unwrap();
        // The state follows the process name, which is in parentheses (proc(5)).
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

/// A process of `limewing platform`, killed on drop.
pub(crate) struct PlatformProcess {
    child: Child,
    /// Address on which it serves its clients.
    pub address: SocketAddr,
    folder: tempfile::TempDir,
}

impl PlatformProcess {
    /// Starts a sidecar and waits until it listens. Its log is read continuously, so that writing it never blocks.
    pub(crate) fn start(config: &SidecarConfigFile) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("config.json");
        std::fs::write(&file, config.json()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_limewing"));
        command.arg("platform").arg(&file).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        let address = loop {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "it does not listen");
            let value = line
                .split_once("\"address\":\"")
                .and_then(|(_, rest)| rest.split('"').next());
            if let Some(address) = value.filter(|_| line.contains("\"listening\"")) {
                break address.parse().unwrap();
            }
        };
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Self {
            child,
            address,
            folder,
        }
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Replaces the configuration file, which the process reads again on SIGHUP.
    pub(crate) fn write_config(&self, config: &SidecarConfigFile) {
        self.write_config_text(&config.json());
    }

    pub(crate) fn write_config_text(&self, text: &str) {
        std::fs::write(self.folder.path().join("config.json"), text).unwrap();
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Suspends the process, and waits until all of its threads are stopped.
    pub(crate) fn suspend(&self) {
        suspend(&self.child);
    }

    /// Waits until the process has exited, and returns whether it succeeded.
    pub(crate) fn wait_for_success(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for PlatformProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a sidecar's response to a request for its status page.
pub(crate) fn fetch_status(address: &str) -> String {
    let mut client = TcpStream::connect(address).unwrap();
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

/// Sends a request on a persistent connection, and returns the head of the response. Its body must have a Content-Length.
pub(crate) fn send_request(stream: &mut TcpStream, request: &str) -> std::io::Result<String> {
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
