#!/bin/sh
# plot.sh FOLDER: draws FOLDER/results.csv of "quinceroute-rehearsal experiment"
# as PNG and SVG: medians as bars, least and greatest of the seeds as ranges.
set -eu
folder=${1:?usage: plot.sh FOLDER}
results=$folder/results.csv
[ -s "$results" ] || { echo "plot.sh: no $results" >&2; exit 1; }

# medians COLUMN: a line for each deployment and fault; for each contender
# median, least and greatest of COLUMN.
medians() {
    awk -F, -v column="$1" '
        NR == 1 { for (i = 1; i <= NF; i++) place[$i] = i; next }
        {
            group = $1 "\\n" $3
            if (!(group in seen_group)) { seen_group[group] = 1; groups[++n_groups] = group }
            if (!($2 in seen_name)) { seen_name[$2] = 1; names[++n_names] = $2 }
            key = group SUBSEP $2
            values[key, ++count[key]] = $place[column] + 0
        }
        END {
            printf "group"
            for (j = 1; j <= n_names; j++) printf " %s least greatest", names[j]
            printf "\n"
            for (i = 1; i <= n_groups; i++) {
                printf "\"%s\"", groups[i]
                for (j = 1; j <= n_names; j++) {
                    key = groups[i] SUBSEP names[j]
                    n = count[key]
                    if (n == 0) { printf " NaN NaN NaN"; continue }
                    for (a = 1; a <= n; a++) sorted[a] = values[key, a]
                    for (a = 2; a <= n; a++)
                        for (b = a; b > 1 && sorted[b] < sorted[b - 1]; b--) {
                            swap = sorted[b]; sorted[b] = sorted[b - 1]; sorted[b - 1] = swap
                        }
                    middle = (sorted[int((n + 1) / 2)] + sorted[int(n / 2) + 1]) / 2
                    printf " %s %s %s", middle, sorted[1], sorted[n]
                }
                printf "\n"
            }
        }' "$results"
}

# plot COLUMN TITLE FILE
plot() {
    medians "$1" > "$folder/$3.dat"
    columns=$(awk 'NR == 1 { print (NF - 1) / 3; exit }' "$folder/$3.dat")
    for format in png svg; do
        terminal="pngcairo size 1100,520 font ',11'"
        [ "$format" = png ] || terminal="svg size 1100,520 font 'sans,12' background 'white'"
        gnuplot << END
set terminal $terminal
set output "$folder/$3.$format"
set title "$2"
set style data histograms
set style histogram errorbars gap 1 linewidth 1
set style fill solid 0.75 border -1
set key outside right noenhanced
set grid ytics
set bmargin 4
set yrange [0:*]
set xtics noenhanced
plot for [i=0:$columns-1] "$folder/$3.dat" using 2+3*i:3+3*i:4+3*i:xtic(1) title columnheader(2+3*i)
END
    done
    echo "$folder/$3.png"
}

plot trainer_idle_s "Trainer idle time, s (less is better)" trainer-idle
plot on_time_percent "Calls answered on time, % of all (more is better)" on-time
plot staleness_p99 "Staleness of delivered samples, versions, 99th percentile" staleness
plot p99_ms "Latency of whole answers, ms, 99th percentile" p99
