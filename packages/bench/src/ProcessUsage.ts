import { readFile } from "node:fs/promises";

/** CPU time and resident memory of another process on this machine. */
export interface ProcessUsage {
    /** User and system time since the start of the process, in s. */
    readonly cpuS: number;
    readonly residentMb: number;
}

// The unit of times in /proc: USER_HZ is 100 on every Linux platform that Node.js supports.
const ticksPerS = 100;
const kbPerMb = 1_024;

/** Reads the usage from `/proc`. Rejects if the process has exited. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
    const stat = await readFile(`/proc/${pid}/stat`, "utf8");
    // The command name, in parentheses, may contain spaces; the fields after it do not.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const [userTicks, systemTicks] = [Number(fields[11]), Number(fields[12])];
    const status = await readFile(`/proc/${pid}/status`, "utf8");
    const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return { cpuS: (userTicks + systemTicks) / ticksPerS, residentMb: residentKb / kbPerMb };
}
