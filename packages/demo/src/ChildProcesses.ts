import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** A child process that has started to listen. */
export interface StartedProcess {
    readonly name: string;
    readonly child: ChildProcess;
    /** Address for callers, such as `127.0.0.1:8080`. */
    readonly listen: string;
    /** Address of the admin port; empty for stand-ins. */
    readonly adminListen: string;
    /** Resolves with the exit code, or the signal that ended the process. */
    readonly exited: Promise<number | NodeJS.Signals>;
}

interface ListeningLine {
    readonly message?: string;
    readonly listen?: string;
    readonly adminListen?: string;
}

const startTimeoutMs = 10_000;

/** Starts a Node.js process and waits until it prints its listening address. Rejects if it exits first or times out. */
export function startProcess(name: string, entry: string, args: readonly string[]): Promise<StartedProcess> {
    const child = spawn(process.execPath, ["--enable-source-maps", entry, ...args], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    const exited = new Promise<number | NodeJS.Signals>(resolve =>
        child.once("exit", (code, signal) => resolve(code ?? signal ?? 1))
    );
    return new Promise((resolve, reject) => {
        const timer = setTimeout(() => {
            child.kill("SIGKILL");
            reject(new Error(`${name} printed no listening address within ${startTimeoutMs} ms`));
        }, startTimeoutMs);
        void exited.then(code => {
            clearTimeout(timer);
            reject(new Error(`${name} exited with ${code} before it printed a listening address`));
        });
        createInterface({ input: child.stdout }).on("line", line => {
            const { message, listen, adminListen = "" } = parseLine(line);
            if (message === "listening" && listen !== undefined) {
                clearTimeout(timer);
                resolve({ name, child, listen, adminListen, exited });
            }
        });
    });
}

/** Sends SIGTERM to processes, and SIGKILL to those that have not exited within `timeoutMs`. */
export async function stopProcesses(processes: readonly StartedProcess[], timeoutMs: number): Promise<void> {
    processes.forEach(({ child }) => child.kill("SIGTERM"));
    const timer = setTimeout(() => processes.forEach(({ child }) => child.kill("SIGKILL")), timeoutMs);
    await Promise.all(processes.map(({ exited }) => exited));
    clearTimeout(timer);
}

function parseLine(line: string): ListeningLine {
    try {
        return JSON.parse(line) as ListeningLine;
    }
    catch {
        return {};
    }
}
